"""Base class of the periodic tasks of the holder of the duties."""

import abc
import logging

from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['FleetDuty']

LOG = logging.getLogger(__name__)

# Longest time between two checks of whether a daemon that does not hold the
# duties has been stopped.
MAX_IDLE_S = 1.0


class FleetDuty(abc.ABC):
    """Runs a task periodically while this daemon holds the duties.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    holder : DutyHolder
        Tells whether this daemon holds the duties.
    period_s : float
        Seconds between two passes.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        holder: duty_holder.DutyHolder,
        period_s: float,
    ) -> None:
        self.state = state
        self.holder = holder
        self.period_s = period_s

    @abc.abstractmethod
    def run_once(self) -> None:
        """Make one pass; an exception ends only this pass."""

    def reset(self) -> None:
        """Drop state that is valid only while holding the duties, if any."""
        return

    def run(self) -> None:
        """Make passes until the daemon stops."""
        while not self.state.stopped.wait(self.period_s):
            if not self.holder.held_event.is_set():
                self.reset()
                self.holder.held_event.wait(MAX_IDLE_S)
                continue
            if not self.holder.fence():
                self.reset()
                continue
            try:
                self.run_once()
            except Exception:
                LOG.exception('%s failed', type(self).__name__)
