"""Rate limit of one workspace in one daemon."""

import threading

from chestnutshunt import clock

__all__ = ['TokenBucket']

BURST_S = 1.0


class TokenBucket:
    """Token bucket whose rate can change while it is used.

    Parameters
    ----------
    clock : Clock
        Clock for the refill.
    rate : float
        Units a second; one second's worth may be used at once.
    """

    def __init__(self, clock: clock.Clock, rate: float) -> None:
        self.clock = clock
        self.rate = rate
        self.level = self.capacity
        self.refilled_at = clock.monotonic()
        self.lock = threading.Lock()

    @property
    def capacity(self) -> float:
        """Largest number of units that can be saved up."""
        return max(self.rate * BURST_S, 1.0) if self.rate > 0 else 0.0

    def set_rate(self, rate: float) -> None:
        """Change the rate from now on."""
        with self.lock:
            self.refill()
            self.rate = rate
            self.level = min(self.level, self.capacity)

    def take(self, units: float) -> float:
        """Take units if there are any left.

        Returns
        -------
        float
            0.0 when taken, otherwise seconds until another try can succeed.
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
        """Return units that were reserved and not used."""
        with self.lock:
            self.level = min(self.level + units, self.capacity)

    def refill(self) -> None:
        """Add what has accrued since the last call."""
        now = self.clock.monotonic()
        gained = (now - self.refilled_at) * self.rate
        self.level = min(self.level + gained, self.capacity)
        self.refilled_at = now
