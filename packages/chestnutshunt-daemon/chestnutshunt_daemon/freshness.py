"""How long ago the platform was last heard, here or through peers."""

import threading

from chestnutshunt import clock

__all__ = ['Freshness']

NEVER = -1


class Freshness:
    """Latest time at which the mirror is known to have been up to date.

    Parameters
    ----------
    clock : Clock
        Clock for the age.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.confirmed_at: float | None = None
        self.lock = threading.Lock()

    def confirm(self, age_s: float = 0.0) -> None:
        """Note that the platform was heard `age_s` seconds ago."""
        at = self.clock.monotonic() - age_s
        with self.lock:
            if self.confirmed_at is None or at > self.confirmed_at:
                self.confirmed_at = at

    def merge_peer_age(self, age_ms: int) -> None:
        """Note what a peer says of its own age, in milliseconds."""
        if age_ms >= 0:
            self.confirm(age_ms / 1000)

    def age_ms(self) -> int:
        """Return the age in milliseconds, -1 if there is none."""
        if self.confirmed_at is None:
            return NEVER
        return int((self.clock.monotonic() - self.confirmed_at) * 1000)

    def is_older_than(self, max_age_s: float) -> bool:
        """Tell whether the platform has not been heard for so long."""
        age = self.age_ms()
        return age == NEVER or age > max_age_s * 1000
