"""Tends the leases of this daemon's duties."""

import logging
from typing import Protocol

import attrs

from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt.routing import rendezvous
from chestnutshunt_daemon import coordinator
from chestnutshunt_daemon import fleet_controller
from chestnutshunt_daemon import node
from chestnutshunt_daemon import usage_reporter

__all__ = ['DutyManager']

LOG = logging.getLogger(__name__)

CANDIDATES = 2
"""Live daemons that try for a duty; the others leave it alone."""

TENDS_PER_LEASE = 6

USAGE_DUTY = 'usage'
RUN_PREFIX = 'run/'
FLEET_PREFIX = 'fleet/'


class DutyWorker(Protocol):
    """What is done while a lease is held."""

    def start(self) -> None:
        """Begin the work."""

    def stop(self) -> None:
        """End the work."""


@attrs.define(eq=False)
class Duty:
    """A lease and the work that goes with it."""

    duty_lease: lease.Lease
    worker: DutyWorker | None = None


class DutyManager:
    """Holds leases and works for those that are held.

    Parameters
    ----------
    state : Node
        The daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state
        self.duties: dict[str, Duty] = {}

    def run(self) -> None:
        """Tend the leases until the daemon stops."""
        pause = self.state.config.lease_s / TENDS_PER_LEASE
        while not self.state.stopped.is_set():
            self.update_duties()
            self.state.stopped.wait(pause)
        for name in list(self.duties):
            self.release_duty(name)

    def eligible_duties(self) -> set[str]:
        """Return the duties that this daemon may try for."""
        runs = self.state.current_tree().names('runs')
        names = {RUN_PREFIX + run for run in runs}
        names.add(USAGE_DUTY)
        found = {name for name in names if self.is_candidate(name, None)}
        own = FLEET_PREFIX + self.state.own.datacentre
        if self.is_candidate(own, self.state.own.datacentre):
            found.add(own)
        return found

    def is_candidate(self, name: str, datacentre: str | None) -> bool:
        """Tell whether this daemon is among the first for a duty."""
        if self.state.draining.is_set():
            return False
        live = [item.name for item in self.state.directory.live(datacentre)]
        first = rendezvous.rank(name, live)[:CANDIDATES]
        return self.state.own.name in first

    def update_duties(self) -> None:
        """Renew, acquire and drop leases, and start or stop the work."""
        wanted = self.eligible_duties()
        for name in wanted | set(self.duties):
            try:
                self.update_duty(name, name in wanted)
            except errors.ChestnutshuntError as exc:
                LOG.warning('Duty %s: %s', name, exc)
                self.release_duty(name)

    def update_duty(self, name: str, wanted: bool) -> None:
        """Tend the lease of a duty and let its work follow."""
        duty = self.duties.setdefault(name, Duty(self.make_lease(name)))
        gone = name.startswith(RUN_PREFIX) and not self.has_run(name)
        if gone or (not wanted and not duty.duty_lease.held):
            self.release_duty(name)
            return
        if not (duty.duty_lease.tend() or duty.duty_lease.orphaned):
            self.stop_worker(name, duty)
        elif duty.worker is None:
            LOG.info('Holding %s', name)
            duty.worker = self.make_worker(name, duty.duty_lease)
            duty.worker.start()

    def has_run(self, name: str) -> bool:
        """Tell whether the tree still has the run of a duty."""
        return f'runs/{name.removeprefix(RUN_PREFIX)}' in (
            self.state.current_tree().nodes
        )

    def make_lease(self, name: str) -> lease.Lease:
        """Return this daemon's side of a lease."""
        return lease.Lease(
            self.state.store,
            self.state.clock,
            name,
            self.state.own.owner,
            self.state.config.lease_s,
        )

    def make_worker(self, name: str, duty_lease: lease.Lease) -> DutyWorker:
        """Return the work that goes with a lease."""
        if name == USAGE_DUTY:
            return usage_reporter.UsageReporter(self.state, duty_lease)
        if name.startswith(FLEET_PREFIX):
            return fleet_controller.FleetController(self.state, duty_lease)
        run = name.removeprefix(RUN_PREFIX)
        made = coordinator.Coordinator(self.state, run, duty_lease)
        self.state.coordinators[run] = made
        return made

    def stop_worker(self, name: str, duty: Duty) -> None:
        """End the work of a duty."""
        if duty.worker is None:
            return
        LOG.info('No longer holding %s', name)
        self.state.coordinators.pop(name.removeprefix(RUN_PREFIX), None)
        duty.worker.stop()
        duty.worker = None

    def release_duty(self, name: str) -> None:
        """Give a duty up, so that a successor need not wait."""
        duty = self.duties.pop(name)
        self.stop_worker(name, duty)
        duty.duty_lease.release()
