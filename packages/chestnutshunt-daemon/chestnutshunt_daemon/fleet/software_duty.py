"""Keeps on record which software versions the targets of a service run.

Daemons that have just started read it: after the loss of all daemons no one
remembers which version began the streams that callers take up again.
"""

import logging

from returns import result

from chestnutshunt.deployment import route_kind
from chestnutshunt.store import object_store
from chestnutshunt.streams import software_record
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_duty
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['SoftwareDuty']

LOG = logging.getLogger(__name__)

# Time between two comparisons of the record with the registered targets.
PERIOD_S = 0.3


class SoftwareDuty(fleet_duty.FleetDuty):
    """Writes the record of each service while this daemon holds the duties.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    holder : DutyHolder
        Tells whether this daemon holds the duties.
    store : ObjectStore
        Store that keeps the records.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        holder: duty_holder.DutyHolder,
        store: object_store.ObjectStore,
    ) -> None:
        super().__init__(state, holder, PERIOD_S)
        self.store = store
        self.written: dict[str, list[str]] = {}

    def reset(self) -> None:
        """Forget what was written: another holder may have written since."""
        self.written.clear()

    def run_once(self) -> None:
        """Write the records of services whose versions have changed."""
        current = self.state.deployment
        if current is None:
            return
        services = {
            item.service
            for route in current.routes
            if route.kind is route_kind.RouteKind.STREAM and route.resumable
            for item in route.destinations
        }
        for service in services:
            present = sorted(
                origin.software
                for origin in self.state.origins.history.present
                if origin.service == service
            )
            if present != self.written.get(service):
                self.write(service, present)

    def write(self, service: str, present: list[str]) -> None:
        """Write the versions in service, and those that left lately."""
        kind = fleet_state.SOFTWARE_KIND
        match self.store.get(kind, service):
            case result.Success(None):
                known = self.first_record()
                expected = object_store.ABSENT
            case result.Success(stored):
                known = software_record.SoftwareRecord.decode(stored.value)
                expected = stored.version
            case result.Failure(exc):
                self.log(service, present, exc.message)
                return
        now = self.state.time.now()
        recent = self.state.origins.history.recent([service])
        record = known.updated(
            present, [origin.software for origin in recent], now
        )
        match self.store.put(kind, service, record.encode(), expected):
            case result.Success():
                self.written[service] = present
                self.log(service, present, 'written')
            case result.Failure(exc):
                self.log(service, present, exc.message)

    def first_record(self) -> software_record.SoftwareRecord:
        """Return an empty record for a service that has none.

        It covers all streams only if there can be none from before.
        """
        is_first_start = self.state.config.first_start
        return software_record.SoftwareRecord(
            since=0.0 if is_first_start else self.state.time.now()
        )

    def log(self, service: str, present: list[str], outcome: str) -> None:
        """Log the outcome of a write."""
        LOG.info(
            'Software versions in service',
            extra={'service': service, 'present': present, 'outcome': outcome},
        )
