"""Interface of the clocks that are injected into components."""

import abc

__all__ = ['Clock']


class Clock(abc.ABC):
    """Source of time, replaced by a manual clock in tests."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never goes backwards."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch."""

    @abc.abstractmethod
    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
