"""Tends the leases of this daemon's duties."""

import logging

from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt.routing import rendezvous
from chestnutshunt_daemon import coordinator
from chestnutshunt_daemon import node

__all__ = ['Duties']

LOG = logging.getLogger(__name__)

CANDIDATES = 2
"""Live daemons that try for a duty; the others leave it alone."""

TENDS_PER_LEASE = 3


class Duties:
    """Holds leases of runs and works for those that are held.

    Parameters
    ----------
    held : Node
        The daemon.
    """

    def __init__(self, held: node.Node) -> None:
        self.held = held
        self.leases: dict[str, lease.Lease] = {}

    def run(self) -> None:
        """Tend the leases until the daemon stops."""
        while not self.held.stopped.is_set():
            try:
                self.tend()
            except errors.ChestnutshuntError as exc:
                LOG.warning('Duties: %s', exc)
            self.held.stopped.wait(
                self.held.config.lease_s / TENDS_PER_LEASE / 2
            )
        self.release_all()

    def tend(self) -> None:
        """Renew, acquire and drop leases, and start or stop the work."""
        runs = set(self.held.current_tree().names('runs'))
        for run in runs:
            name = f'run/{run}'
            if name in self.leases or self.is_candidate(name):
                self.tend_run(run, name)
        for name in list(self.leases):
            if name.removeprefix('run/') not in runs:
                self.drop(name)

    def is_candidate(self, name: str) -> bool:
        """Tell whether this daemon is among the first for a duty."""
        if self.held.draining.is_set():
            return False
        live = [item.name for item in self.held.directory.live()]
        first = rendezvous.rank(name, live)[:CANDIDATES]
        return self.held.own.name in first

    def tend_run(self, run: str, name: str) -> None:
        """Tend the lease of a run and let its coordinator follow."""
        if name not in self.leases:
            self.leases[name] = lease.Lease(
                self.held.platform,
                self.held.clock,
                name,
                self.held.own.owner,
                self.held.config.lease_s,
            )
        charge = self.leases[name]
        if charge.tend() or charge.orphaned:
            if run not in self.held.coordinators:
                LOG.info('Coordinating run %s', run)
                made = coordinator.Coordinator(self.held, run, charge)
                self.held.coordinators[run] = made
                made.start()
            return
        self.stop_coordinator(run)
        if not self.is_candidate(name):
            del self.leases[name]

    def stop_coordinator(self, run: str) -> None:
        """End the work for a run."""
        running = self.held.coordinators.pop(run, None)
        if running is not None:
            LOG.info('No longer coordinating run %s', run)
            running.stop()

    def drop(self, name: str) -> None:
        """Give a duty up."""
        self.stop_coordinator(name.removeprefix('run/'))
        self.leases.pop(name).release()

    def release_all(self) -> None:
        """Give all duties up, so that successors need not wait."""
        for name in list(self.leases):
            self.drop(name)
