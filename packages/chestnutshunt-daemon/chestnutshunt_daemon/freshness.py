"""Age of the mirror's last confirmation, here or through peers."""

import threading

from chestnutshunt import clock

__all__ = ['Freshness']

NEVER_CONFIRMED_MS = -1


class Freshness:
    """Latest time at which the mirror is known to have been up to date.

    Its methods may be called from any thread.

    Parameters
    ----------
    clock : Clock
        Clock that the age is measured by.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.confirmed_at: float | None = None
        self.lock = threading.Lock()

    def confirm(self, age_s: float = 0.0) -> None:
        """Record that the mirror was up to date `age_s` seconds ago."""
        confirmed_at = self.clock.monotonic() - age_s
        with self.lock:
            if self.confirmed_at is None or confirmed_at > self.confirmed_at:
                self.confirmed_at = confirmed_at

    def merge_peer_age(self, age_ms: int) -> None:
        """Record the age a peer reports in milliseconds, -1 for none."""
        if age_ms >= 0:
            self.confirm(age_ms / 1000)

    def age_ms(self) -> int:
        """Return the age in milliseconds, -1 if never confirmed."""
        if self.confirmed_at is None:
            return NEVER_CONFIRMED_MS
        return int((self.clock.monotonic() - self.confirmed_at) * 1000)

    def is_older_than(self, max_age_s: float) -> bool:
        """Return whether the age exceeds a limit or is unknown."""
        age_ms = self.age_ms()
        return age_ms == NEVER_CONFIRMED_MS or age_ms > max_age_s * 1000
