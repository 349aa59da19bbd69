"""Rate limits that targets have asked for, as far as a daemon knows."""

import logging
import threading

from chestnutshunt import clock
from chestnutshunt.ratelimit import rate_limit
from chestnutshunt.replicas import replica

__all__ = ['LimitTable']

LOG = logging.getLogger(__name__)

# A lifted limit is reported to peers for this long.
LIFTED_TTL_S = 10.0

# Target processes of which a limit is kept.
MAX_TARGET_COUNT = 20_000


class LimitTable:
    """Keeps the newest rate limit of each target process.

    Thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock for the age of limits.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.limits: dict[str, rate_limit.RateLimit] = {}
        self.lock = threading.Lock()

    def observe(
        self, target: replica.Replica, rate: float | None, sent_at: float
    ) -> None:
        """Record what a response of a target says about its limit.

        Parameters
        ----------
        target : Replica
            Target that responded.
        rate : float or None
            Requests a second that it takes, ``None`` if it names no limit.
        sent_at : float
            Monotonic time in seconds at which the request was sent. A
            response to a request from before the limit does not lift it.
        """
        known = self.limits.get(target.start_key)
        if rate is None and (known is None or sent_at < known.observed_at):
            return
        self.record(target.start_key, rate, self.clock.monotonic())

    def record(
        self, start_key: str, rate: float | None, observed_at: float
    ) -> None:
        """Record a limit unless a newer one is known; log a change."""
        with self.lock:
            known = self.limits.get(start_key)
            if known is None and rate is None:
                return
            if known is not None and known.observed_at >= observed_at:
                return
            self.limits[start_key] = rate_limit.RateLimit(rate, observed_at)
            while len(self.limits) > MAX_TARGET_COUNT:
                del self.limits[next(iter(self.limits))]
        if known is None or known.rate != rate:
            LOG.info(
                'Rate limit of a target changed',
                extra={
                    'target': start_key,
                    'rate': rate,
                    'before': known.rate if known else None,
                    'age_s': round(self.clock.monotonic() - observed_at, 3),
                },
            )

    def rate(self, target: replica.Replica) -> float | None:
        """Return the requests a second that a target takes, if limited."""
        return self.rate_of(target.start_key)

    def rate_of(self, start_key: str) -> float | None:
        """Return the same for the key of a target process."""
        known = self.limits.get(start_key)
        return known.rate if known else None

    def snapshot(self, count: int) -> list[tuple[str, float | None, float]]:
        """Return the newest limits: key, rate and age in seconds.

        Parameters
        ----------
        count : int
            Number of limits to return at most.
        """
        now = self.clock.monotonic()
        with self.lock:
            entries = [
                (key, known.rate, now - known.observed_at)
                for key, known in self.limits.items()
            ]
        entries = [
            entry
            for entry in entries
            if entry[1] is not None or entry[2] < LIFTED_TTL_S
        ]
        return sorted(entries, key=lambda entry: entry[2])[:count]
