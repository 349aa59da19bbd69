"""Answers the platform's requests to empty VMs that have a disk."""

import logging

from returns import result

from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_duty
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['RetirementDuty']

LOG = logging.getLogger(__name__)

# Time between two passes over the requests.
PERIOD_S = 0.5


class RetirementDuty(fleet_duty.FleetDuty):
    """Confirms that VMs are empty.

    All durable data is in the store, so a VM with a disk is always empty.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    holder : DutyHolder
        Tells whether this daemon holds the duties.
    store : ObjectStore
        Store that keeps the requests.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        holder: duty_holder.DutyHolder,
        store: object_store.ObjectStore,
    ) -> None:
        super().__init__(state, holder, PERIOD_S)
        self.store = store

    def run_once(self) -> None:
        """Confirm the requests that are not confirmed yet."""
        schema = self.state.schema
        for stored in self.state.mirrors[schema.retirement_kind].values():
            if stored.status == schema.emptied_status:
                continue
            match self.store.put_status(
                stored.kind, stored.name, schema.emptied_status, stored.version
            ):
                case result.Success():
                    outcome = 'empty'
                case result.Failure(exc):
                    outcome = exc.message
            LOG.info(
                'Request to empty a VM answered',
                extra={'vm': stored.name, 'outcome': outcome},
            )
