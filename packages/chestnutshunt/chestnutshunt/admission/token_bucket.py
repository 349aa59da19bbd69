"""Token bucket rate limiter."""

import threading

from chestnutshunt import clock

__all__ = ['TokenBucket']

BURST_S = 1.0


class TokenBucket:
    """Token bucket with an adjustable rate.

    Thread-safe. A cost above the capacity is granted from a full bucket and
    leaves the level negative.

    Parameters
    ----------
    clock : Clock
        Clock for the refill.
    rate : float
        Units per second; the burst is the units of one second, at least 1.
    """

    def __init__(self, clock: clock.Clock, rate: float) -> None:
        self.clock = clock
        self.rate = rate
        self.level = self.capacity
        self.refilled_at = clock.monotonic()
        self.lock = threading.Lock()

    @property
    def capacity(self) -> float:
        """Maximum level of the bucket in units."""
        return max(self.rate * BURST_S, 1.0) if self.rate > 0 else 0.0

    def set_rate(self, rate: float) -> None:
        """Change the rate without losing the units accrued so far."""
        with self.lock:
            self.refill()
            self.rate = rate
            self.level = min(self.level, self.capacity)

    def take(self, units: float) -> float:
        """Take units if the level permits.

        Returns
        -------
        float
            0.0 if taken, otherwise seconds until a retry can succeed.
        """
        with self.lock:
            self.refill()
            needed = min(units, self.capacity)
            if self.rate > 0 and self.level >= needed:
                self.level -= units
                return 0.0
            if self.rate <= 0:
                return BURST_S
            return max((needed - self.level) / self.rate, 0.001)

    def refund(self, units: float) -> None:
        """Return units that were taken but not used."""
        with self.lock:
            self.level = min(self.level + units, self.capacity)

    def refill(self) -> None:
        """Add the units accrued since the last refill; needs the lock."""
        now = self.clock.monotonic()
        accrued = (now - self.refilled_at) * self.rate
        self.level = min(self.level + accrued, self.capacity)
        self.refilled_at = now
