"""Time of day that tolerates a jump of one VM's wall clock."""

import statistics
import threading

from chestnutshunt import clock

__all__ = ['MedianTime']


class MedianTime:
    """Median of the daemons' wall clocks, advanced by the monotonic clock.

    Thread-safe.

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
        """Return the wall clock minus the monotonic clock, in seconds."""
        return self.clock.wall() - self.clock.monotonic()

    def record_peer(self, name: str, wall_s: float, read_at: float) -> None:
        """Record a reading of a peer's wall clock.

        Parameters
        ----------
        name : str
            Name of the peer.
        wall_s : float
            Its wall clock, in seconds since the epoch.
        read_at : float
            Estimated local monotonic time of the reading, in seconds.
        """
        with self.lock:
            self.offsets[name] = wall_s - read_at

    def forget(self, name: str) -> None:
        """Drop the offset of a peer that is gone."""
        with self.lock:
            self.offsets.pop(name, None)

    def now(self) -> float:
        """Return the median time in seconds since the epoch."""
        with self.lock:
            peer_offsets = list(self.offsets.values())
        median_offset = statistics.median([*peer_offsets, self.local_offset()])
        return self.clock.monotonic() + median_offset
