"""Work that is repeated while a lease is held."""

import abc
import logging
import threading

from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt_daemon import node

__all__ = ['PeriodicDuty']

LOG = logging.getLogger(__name__)


class PeriodicDuty(abc.ABC):
    """Repeats its work in a thread until it is stopped.

    Parameters
    ----------
    held : Node
        The daemon.
    charge : Lease
        Lease of the duty.
    period : float
        Seconds between two rounds.
    """

    def __init__(
        self, held: node.Node, charge: lease.Lease, period: float
    ) -> None:
        self.held = held
        self.charge = charge
        self.period = period
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=charge.name, daemon=True
        )

    @abc.abstractmethod
    def work(self) -> None:
        """Do one round; an error ends only this round."""

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """End the work after this round."""
        self.stopped.set()

    def run(self) -> None:
        """Work until stopped."""
        while not self.stopped.wait(self.period):
            try:
                self.work()
            except errors.ChestnutshuntError as exc:
                LOG.info('%s: %s', self.charge.name, exc)
