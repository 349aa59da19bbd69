"""Clocks of the operating system."""

import time

from chestnutshunt import clock

__all__ = ['SystemClock']


class SystemClock(clock.Clock):
    """Reads the boot-time clock, which counts while a VM is suspended."""

    def monotonic(self) -> float:
        """Return seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        time.sleep(seconds)
