"""Clock that advances only on request, for tests and simulations."""

from chestnutshunt import clock

__all__ = ['ManualClock']


class ManualClock(clock.Clock):
    """Clock whose monotonic and wall readings are the same number.

    Parameters
    ----------
    start : float, optional
        First reading of both the monotonic and the wall clock, in seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the current reading in seconds."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Advance the clock without blocking."""
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Advance the clock by a number of seconds."""
        self.now += seconds
