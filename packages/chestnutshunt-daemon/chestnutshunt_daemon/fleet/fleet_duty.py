"""Base of what the holder of the duties does again and again."""

import abc
import logging

from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['FleetDuty']

LOG = logging.getLogger(__name__)


class FleetDuty(abc.ABC):
    """Looks at what is due while this daemon holds the duties.

    Parameters
    ----------
    state : FleetState
        The daemon.
    holder : DutyHolder
        Tells whether it may act.
    period_s : float
        Seconds between two looks.
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
        """Do what is due; a failure ends only this look."""

    def reset(self) -> None:
        """Drop what only a holder may believe; most duties keep nothing."""
        return

    def run(self) -> None:
        """Look until the daemon stops."""
        while not self.state.stopped.wait(self.period_s):
            if not self.holder.fence():
                self.reset()
                continue
            try:
                self.run_once()
            except Exception:
                LOG.exception('%s failed', type(self).__name__)
