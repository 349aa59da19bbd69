"""Issues permits for requests to targets that limit their rate."""

import threading

import attrs

from chestnutshunt.admission import token_bucket
from chestnutshunt import clock

__all__ = ['MIN_RATE', 'Permits', 'PermitIssuer']

# Least rate in requests a second at which permits are issued: only a response
# can show that a target has lifted its limit.
MIN_RATE = 0.25

# A bucket that was not used for this time is dropped.
BUCKET_TTL_S = 60.0


@attrs.frozen
class Permits:
    """Permits for requests to one target.

    Attributes
    ----------
    count : int
        Number of requests that may be sent.
    retry_s : float
        Seconds after which more may be available; 0 if all were issued.
    """

    count: int
    retry_s: float = 0.0


class PermitIssuer:
    """Issues no more permits for a target than its rate limit allows.

    A new bucket is empty: a former issuer may just have issued a second's
    permits. Thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock for the rates.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.buckets: dict[str, token_bucket.TokenBucket] = {}
        self.lock = threading.Lock()

    def issue(
        self, start_key: str, rate: float, count: int, spent: int = 0
    ) -> Permits:
        """Issue permits for one target process.

        Parameters
        ----------
        start_key : str
            Key of the target process.
        rate : float
            Requests a second that it takes from this issuer; 0 issues none.
        count : int
            Number of permits that are wanted.
        spent : int, optional
            Requests that were sent without a permit; later ones wait for
            them.
        """
        with self.lock:
            self.drop_unused()
            bucket = self.buckets.get(start_key)
            if bucket is None:
                bucket = token_bucket.TokenBucket(self.clock, rate)
                bucket.level = 0.0
                self.buckets[start_key] = bucket
            bucket.set_rate(rate)
            bucket.level -= spent
            issued = 0
            retry_s = 0.0
            while issued < count and not retry_s:
                retry_s = bucket.take(1.0)
                issued += not retry_s
            return Permits(issued, retry_s)

    def drop_unused(self) -> None:
        """Drop the buckets that were not used for a while."""
        oldest_at = self.clock.monotonic() - BUCKET_TTL_S
        unused = [
            key
            for key, bucket in self.buckets.items()
            if bucket.refilled_at < oldest_at
        ]
        for key in unused:
            del self.buckets[key]
