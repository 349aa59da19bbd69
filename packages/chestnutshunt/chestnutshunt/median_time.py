"""Time of day that a jump of one VM's clock does not move."""

import statistics
import threading

from chestnutshunt import clock

__all__ = ['MedianTime']


class MedianTime:
    """Median of the daemons' clocks, counted on the steady clock.

    Parameters
    ----------
    clock : Clock
        This VM's clocks.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.offsets: dict[str, float] = {}
        self.lock = threading.Lock()

    def local_offset(self) -> float:
        """Return the wall clock minus the steady clock, in seconds."""
        return self.clock.wall() - self.clock.monotonic()

    def record_peer(self, name: str, wall_s: float, read_at: float) -> None:
        """Note a peer's wall clock at a time of the steady clock.

        Parameters
        ----------
        name : str
            The peer.
        wall_s : float
            Its wall clock in seconds.
        read_at : float
            Monotonic time in seconds at which it read that, as estimated
            here.
        """
        with self.lock:
            self.offsets[name] = wall_s - read_at

    def forget(self, name: str) -> None:
        """Leave out a peer that is gone."""
        with self.lock:
            self.offsets.pop(name, None)

    def now(self) -> float:
        """Return Unix time in seconds."""
        with self.lock:
            others = list(self.offsets.values())
        middle = statistics.median([*others, self.local_offset()])
        return self.clock.monotonic() + middle
