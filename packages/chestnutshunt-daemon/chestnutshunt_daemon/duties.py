"""Acquires and renews the leases of this daemon's duties."""

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

# Live daemons that try to acquire the lease of one duty.
CANDIDATE_COUNT = 2
RENEWALS_PER_LEASE_COUNT = 6

USAGE_DUTY = 'usage'
RUN_PREFIX = 'run/'
FLEET_PREFIX = 'fleet/'


class DutyWorker(Protocol):
    """Work of a duty, done while its lease is held."""

    def start(self) -> None:
        """Begin the work."""

    def stop(self) -> None:
        """End the work."""

    @property
    def is_alive(self) -> bool:
        """True while the threads of the work run."""


@attrs.define(eq=False)
class Duty:
    """The lease of a duty, and its worker while the lease is held."""

    duty_lease: lease.Lease
    worker: DutyWorker | None = None


class DutyManager:
    """Acquires leases of duties and runs a worker for each that is held.

    Parameters
    ----------
    state : Node
        State of the daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state
        self.duties: dict[str, Duty] = {}

    def run(self) -> None:
        """Update the duties until the daemon stops, then release all."""
        pause_s = self.state.config.lease_s / RENEWALS_PER_LEASE_COUNT
        while not self.state.stopped.is_set():
            self.update_duties()
            self.state.stopped.wait(pause_s)
        for name in list(self.duties):
            self.release_duty(name)

    def eligible_duties(self) -> set[str]:
        """Return the duties whose lease this daemon may acquire."""
        runs = self.state.current_tree().leaf_names('runs')
        names = {RUN_PREFIX + run for run in runs}
        names.add(USAGE_DUTY)
        eligible = {name for name in names if self.is_candidate(name, None)}
        fleet_duty = FLEET_PREFIX + self.state.own.datacentre
        if self.is_candidate(fleet_duty, self.state.own.datacentre):
            eligible.add(fleet_duty)
        return eligible

    def is_candidate(self, name: str, datacentre: str | None) -> bool:
        """Return whether this daemon is a candidate for a duty.

        Candidates are the first live daemons of the duty's rendezvous order,
        of one data centre if one is given. A draining daemon is none.
        """
        if self.state.draining.is_set():
            return False
        live = [
            item.name for item in self.state.directory.live_members(datacentre)
        ]
        first = rendezvous.rank(name, live)[:CANDIDATE_COUNT]
        return self.state.own.name in first

    def update_duties(self) -> None:
        """Renew, acquire and release leases; start and stop workers."""
        eligible = self.eligible_duties()
        for name in eligible | set(self.duties):
            try:
                self.update_duty(name, name in eligible)
            except errors.ChestnutshuntError as exc:
                LOG.warning('Duty %s: %s', name, exc)
                self.release_duty(name)

    def update_duty(self, name: str, eligible: bool) -> None:
        """Renew or acquire the lease of a duty; start or stop its worker.

        The worker goes on under an orphaned lease, that is while only the
        platform is unreachable. A held lease is kept when the daemon is no
        longer a candidate, but given up if the worker has ended by itself:
        a renewed lease would keep the others from taking over.
        """
        duty = self.duties.setdefault(name, Duty(self.make_lease(name)))
        run_removed = name.startswith(RUN_PREFIX) and not self.has_run(name)
        if duty.worker is not None and not duty.worker.is_alive:
            LOG.error('The worker of duty %s has ended; it is given up', name)
            self.release_duty(name)
            return
        if run_removed or (not eligible and not duty.duty_lease.is_held):
            self.release_duty(name)
            return
        if not (
            duty.duty_lease.renew_or_acquire() or duty.duty_lease.is_orphaned
        ):
            self.stop_worker(name, duty)
        elif duty.worker is None:
            LOG.info('Starting the worker of duty %s', name)
            duty.worker = self.make_worker(name, duty.duty_lease)
            duty.worker.start()

    def has_run(self, name: str) -> bool:
        """Return whether the settings still have the run of a duty."""
        return f'runs/{name.removeprefix(RUN_PREFIX)}' in (
            self.state.current_tree().nodes
        )

    def make_lease(self, name: str) -> lease.Lease:
        """Return a lease of the duty, not yet acquired."""
        return lease.Lease(
            self.state.store,
            self.state.clock,
            name,
            self.state.own.owner,
            self.state.config.lease_s,
        )

    def make_worker(self, name: str, duty_lease: lease.Lease) -> DutyWorker:
        """Return the worker of a duty, not yet started."""
        if name == USAGE_DUTY:
            return usage_reporter.UsageReporter(self.state, duty_lease)
        if name.startswith(FLEET_PREFIX):
            return fleet_controller.FleetController(self.state, duty_lease)
        run = name.removeprefix(RUN_PREFIX)
        run_coordinator = coordinator.Coordinator(self.state, run, duty_lease)
        self.state.coordinators[run] = run_coordinator
        return run_coordinator

    def stop_worker(self, name: str, duty: Duty) -> None:
        """Stop the worker of a duty, if it has one."""
        if duty.worker is None:
            return
        LOG.info('Stopping the worker of duty %s', name)
        self.state.coordinators.pop(name.removeprefix(RUN_PREFIX), None)
        duty.worker.stop()
        duty.worker = None

    def release_duty(self, name: str) -> None:
        """Stop a duty and release its lease, so that a successor can start."""
        duty = self.duties.pop(name)
        self.stop_worker(name, duty)
        duty.duty_lease.release()
