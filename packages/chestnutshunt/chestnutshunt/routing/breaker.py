"""Circuit breaker that ejects failing targets."""

import logging
import threading

from chestnutshunt import clock

__all__ = ['CircuitBreaker']

LOG = logging.getLogger(__name__)

EJECTION_FAILURE_COUNT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0

# Time between two probes of an ejected target.
PROBE_PERIOD_S = 1.0


class CircuitBreaker:
    """Ejects a target for a time after consecutive failures.

    Each further ejection without a success in between lasts twice as long.
    One failure after an ejection is enough for the next. Thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock for the duration of ejections.
    name : str, optional
        Name of the target in log lines.
    """

    def __init__(self, clock: clock.Clock, name: str = '') -> None:
        self.clock = clock
        self.name = name
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probed_at = 0.0
        self.lock = threading.Lock()

    def allows_requests(self) -> bool:
        """Return whether requests may be sent to the target now."""
        return self.clock.monotonic() >= self.ejected_until

    def may_probe(self) -> bool:
        """Return whether one request may test an ejected target."""
        return self.clock.monotonic() - self.probed_at >= PROBE_PERIOD_S

    def record_probe(self) -> None:
        """Record that a request tests the target although it is ejected."""
        with self.lock:
            if not self.allows_requests():
                self.probed_at = self.clock.monotonic()

    def record_success(self) -> None:
        """Record a success, which resets the failures and ejections.

        An ejection ends if the target has been probed since it began.
        """
        if self.failures or self.ejections or self.probed_at:
            with self.lock:
                if self.ejections:
                    LOG.info('Target works again', extra={'target': self.name})
                self.failures = 0
                self.ejections = 0
                if self.probed_at:
                    self.probed_at = 0.0
                    self.ejected_until = 0.0

    def record_failure(self) -> None:
        """Record a failure and eject the target after a series of them.

        Failures during an ejection are ignored: they belong to requests that
        were sent before it and most likely have the same cause.
        """
        with self.lock:
            if not self.allows_requests():
                return
            self.failures += 1
            if self.failures < EJECTION_FAILURE_COUNT:
                return
            duration_s = FIRST_EJECTION_S * 2**self.ejections
            self.ejections += 1
            self.failures = EJECTION_FAILURE_COUNT - 1
            ejection_s = min(duration_s, MAX_EJECTION_S)
            self.ejected_until = self.clock.monotonic() + ejection_s
            self.probed_at = 0.0
            LOG.warning(
                'Target ejected',
                extra={
                    'target': self.name,
                    'seconds': ejection_s,
                    'ejections': self.ejections,
                },
            )
