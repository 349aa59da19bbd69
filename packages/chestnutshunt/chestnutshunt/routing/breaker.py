"""Ejection of failing targets and their return by probing."""

import logging
import threading

from chestnutshunt import clock

__all__ = ['Breaker']

LOG = logging.getLogger(__name__)

FAILURES_TO_EJECT = 3
FIRST_EJECTION = 1.0
"""Seconds."""
LONGEST_EJECTION = 30.0
"""Seconds."""


class Breaker:
    """Counts consecutive failures of one target.

    Parameters
    ----------
    source : Clock
        Clock for the length of an ejection.
    name : str, optional
        The target, for the log.
    """

    def __init__(self, source: clock.Clock, name: str = '') -> None:
        self.source = source
        self.name = name
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.lock = threading.Lock()

    def allows(self) -> bool:
        """Tell whether the target may be given work now."""
        return self.source.monotonic() >= self.ejected_until

    def succeeded(self) -> None:
        """Note a success, which ends a series of failures."""
        if self.failures or self.ejections:
            with self.lock:
                if self.ejections:
                    LOG.info('Target works again', extra={'target': self.name})
                self.failures = 0
                self.ejections = 0

    def failed(self) -> None:
        """Note a failure; a series of them ejects the target.

        A failure during an ejection is of a request sent before it, and
        most likely of the same cause.
        """
        with self.lock:
            if not self.allows():
                return
            self.failures += 1
            if self.failures < FAILURES_TO_EJECT:
                return
            length = FIRST_EJECTION * 2**self.ejections
            self.ejections += 1
            self.failures = FAILURES_TO_EJECT - 1
            pause = min(length, LONGEST_EJECTION)
            self.ejected_until = self.source.monotonic() + pause
            LOG.warning(
                'Target ejected',
                extra={
                    'target': self.name,
                    'seconds': pause,
                    'ejections': self.ejections,
                },
            )
