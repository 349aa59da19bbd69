"""Answers requests to empty VMs with a disk, on which nothing lasts."""

import logging

from returns import result

from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_duty
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['RetirementDuty']

LOG = logging.getLogger(__name__)

LOOK_S = 0.5
"""Seconds between two looks at the requests."""


class RetirementDuty(fleet_duty.FleetDuty):
    """Writes that a VM is empty.

    All that has to last is in the store, so a VM with a disk is always empty.

    Parameters
    ----------
    state : FleetState
        The daemon.
    holder : DutyHolder
        Tells whether it may act.
    store : ObjectStore
        Where the requests are.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        holder: duty_holder.DutyHolder,
        store: object_store.ObjectStore,
    ) -> None:
        super().__init__(state, holder, LOOK_S)
        self.store = store

    def run_once(self) -> None:
        """Answer the requests that have no answer yet."""
        forms = self.state.schema
        for held in self.state.mirrors[forms.retirement_kind].values():
            if held.status == forms.emptied_status:
                continue
            match self.store.put_status(
                held.kind, held.name, forms.emptied_status, held.version
            ):
                case result.Success():
                    outcome = 'empty'
                case result.Failure(exc):
                    outcome = exc.message
            LOG.info(
                'VM to be emptied',
                extra={'vm': held.name, 'outcome': outcome},
            )
