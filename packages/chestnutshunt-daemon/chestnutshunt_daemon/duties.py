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

__all__ = ['Duties']

LOG = logging.getLogger(__name__)

CANDIDATES = 2
"""Live daemons that try for a duty; the others leave it alone."""

TENDS_PER_LEASE = 6

USAGE_DUTY = 'usage'
RUN_PREFIX = 'run/'
FLEET_PREFIX = 'fleet/'


class Work(Protocol):
    """What is done while a lease is held."""

    def start(self) -> None:
        """Begin the work."""

    def stop(self) -> None:
        """End the work."""


@attrs.define(eq=False)
class Duty:
    """A lease and the work that goes with it."""

    charge: lease.Lease
    work: Work | None = None


class Duties:
    """Holds leases and works for those that are held.

    Parameters
    ----------
    held : Node
        The daemon.
    """

    def __init__(self, held: node.Node) -> None:
        self.held = held
        self.duties: dict[str, Duty] = {}

    def run(self) -> None:
        """Tend the leases until the daemon stops."""
        pause = self.held.config.lease_s / TENDS_PER_LEASE
        while not self.held.stopped.is_set():
            self.tend()
            self.held.stopped.wait(pause)
        for name in list(self.duties):
            self.drop(name)

    def wanted(self) -> set[str]:
        """Return the duties that this daemon may try for."""
        runs = self.held.current_tree().leaf_names('runs')
        names = {RUN_PREFIX + run for run in runs}
        names.add(USAGE_DUTY)
        found = {name for name in names if self.is_candidate(name, None)}
        own = FLEET_PREFIX + self.held.own.datacentre
        if self.is_candidate(own, self.held.own.datacentre):
            found.add(own)
        return found

    def is_candidate(self, name: str, datacentre: str | None) -> bool:
        """Tell whether this daemon is among the first for a duty."""
        if self.held.draining.is_set():
            return False
        live = [item.name for item in self.held.directory.live(datacentre)]
        first = rendezvous.rank(name, live)[:CANDIDATES]
        return self.held.own.name in first

    def tend(self) -> None:
        """Renew, acquire and drop leases, and start or stop the work."""
        wanted = self.wanted()
        for name in wanted | set(self.duties):
            try:
                self.tend_one(name, name in wanted)
            except errors.ChestnutshuntError as exc:
                LOG.warning('Duty %s: %s', name, exc)
                self.drop(name)

    def tend_one(self, name: str, wanted: bool) -> None:
        """Tend the lease of a duty and let its work follow."""
        duty = self.duties.setdefault(name, Duty(self.make_lease(name)))
        gone = name.startswith(RUN_PREFIX) and not self.has_run(name)
        if gone or (not wanted and not duty.charge.held):
            self.drop(name)
            return
        if not (duty.charge.tend() or duty.charge.orphaned):
            self.stop_work(name, duty)
        elif duty.work is None:
            LOG.info('Holding %s', name)
            duty.work = self.make_work(name, duty.charge)
            duty.work.start()

    def has_run(self, name: str) -> bool:
        """Tell whether the tree still has the run of a duty."""
        return f'runs/{name.removeprefix(RUN_PREFIX)}' in (
            self.held.current_tree().nodes
        )

    def make_lease(self, name: str) -> lease.Lease:
        """Return this daemon's side of a lease."""
        return lease.Lease(
            self.held.store,
            self.held.clock,
            name,
            self.held.own.owner,
            self.held.config.lease_s,
        )

    def make_work(self, name: str, charge: lease.Lease) -> Work:
        """Return the work that goes with a lease."""
        if name == USAGE_DUTY:
            return usage_reporter.UsageReporter(self.held, charge)
        if name.startswith(FLEET_PREFIX):
            return fleet_controller.FleetController(self.held, charge)
        run = name.removeprefix(RUN_PREFIX)
        made = coordinator.Coordinator(self.held, run, charge)
        self.held.coordinators[run] = made
        return made

    def stop_work(self, name: str, duty: Duty) -> None:
        """End the work of a duty."""
        if duty.work is None:
            return
        LOG.info('No longer holding %s', name)
        self.held.coordinators.pop(name.removeprefix(RUN_PREFIX), None)
        duty.work.stop()
        duty.work = None

    def drop(self, name: str) -> None:
        """Give a duty up, so that a successor need not wait."""
        duty = self.duties.pop(name)
        self.stop_work(name, duty)
        duty.charge.release()
