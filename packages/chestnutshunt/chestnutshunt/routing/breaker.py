"""Ejection of failing targets and their return by probing."""

import logging
import threading

from chestnutshunt import clock

__all__ = ['CircuitBreaker']

LOG = logging.getLogger(__name__)

EJECTION_FAILURE_COUNT = 3
FIRST_EJECTION_S = 1.0
"""Seconds."""
MAX_EJECTION_S = 30.0
"""Seconds."""


class CircuitBreaker:
    """Counts consecutive failures of one target.

    Parameters
    ----------
    clock : Clock
        Clock for the length of an ejection.
    name : str, optional
        The target, for the log.
    """

    def __init__(self, clock: clock.Clock, name: str = '') -> None:
        self.clock = clock
        self.name = name
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.lock = threading.Lock()

    def allows_requests(self) -> bool:
        """Tell whether the target may be given work now."""
        return self.clock.monotonic() >= self.ejected_until

    def record_success(self) -> None:
        """Note a success, which ends a series of failures."""
        if self.failures or self.ejections:
            with self.lock:
                if self.ejections:
                    LOG.info('Target works again', extra={'target': self.name})
                self.failures = 0
                self.ejections = 0

    def record_failure(self) -> None:
        """Note a failure; a series of them ejects the target.

        A failure during an ejection is of a request sent before it, and
        most likely of the same cause.
        """
        with self.lock:
            if not self.allows_requests():
                return
            self.failures += 1
            if self.failures < EJECTION_FAILURE_COUNT:
                return
            length = FIRST_EJECTION_S * 2**self.ejections
            self.ejections += 1
            self.failures = EJECTION_FAILURE_COUNT - 1
            pause = min(length, MAX_EJECTION_S)
            self.ejected_until = self.clock.monotonic() + pause
            LOG.warning(
                'Target ejected',
                extra={
                    'target': self.name,
                    'seconds': pause,
                    'ejections': self.ejections,
                },
            )
