"""Base of duties that repeat their work while a lease is held."""

import abc
import logging
import threading

from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt_daemon import node

__all__ = ['PeriodicDuty']

LOG = logging.getLogger(__name__)


class PeriodicDuty(abc.ABC):
    """Repeats `run_once` in a thread of its own until it is stopped.

    Parameters
    ----------
    state : Node
        State of the daemon.
    duty_lease : Lease
        Lease of the duty.
    period_s : float
        Seconds between two rounds.
    """

    def __init__(
        self, state: node.Node, duty_lease: lease.Lease, period_s: float
    ) -> None:
        self.state = state
        self.duty_lease = duty_lease
        self.period_s = period_s
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=duty_lease.name, daemon=True
        )

    @abc.abstractmethod
    def run_once(self) -> None:
        """Do the work of one round; a `ChestnutshuntError` ends the round."""

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Have the thread end after its current round."""
        self.stopped.set()

    @property
    def is_alive(self) -> bool:
        """True while the thread runs."""
        return self.thread.is_alive()

    def run(self) -> None:
        """Run a round each period until stopped."""
        while not self.stopped.wait(self.period_s):
            try:
                self.run_once()
            except errors.ChestnutshuntError as exc:
                LOG.info('Duty %s: %s', self.duty_lease.name, exc)
            except Exception:
                LOG.exception(
                    'A round of duty %s failed', self.duty_lease.name
                )
