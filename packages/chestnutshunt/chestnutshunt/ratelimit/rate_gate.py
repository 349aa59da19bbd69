"""Holds back requests to targets that limit their rate."""

from collections.abc import Hashable
from collections.abc import Iterable
import threading

from chestnutshunt import clock
from chestnutshunt.ratelimit import limit_table
from chestnutshunt.ratelimit import permit_grant
from chestnutshunt.ratelimit import permit_want
from chestnutshunt.replicas import replica

__all__ = ['RateGate']

# A permit that is not used within this time expires, so that few are
# outstanding when another daemon becomes the issuer.
PERMIT_TTL_S = 0.5

# Time for which a want counts after it was last stated.
WANT_TTL_S = 0.3

# Age reported for a limit of which nothing is known.
UNKNOWN_AGE_S = 1e9


class RateGate:
    """Lets a request to a rate-limited target pass only with a permit.

    Permits come from one daemon for each target, so that all daemons together
    keep to the limit. This class only keeps them; see `collect` and `accept`.
    Thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock for permits and wants.

    Attributes
    ----------
    limits : LimitTable
        Rate limits of targets.
    wanted : Event
        Set when permits are wanted or requests were sent without one.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.limits = limit_table.LimitTable(clock)
        self.wanted = threading.Event()
        self.changed = threading.Condition()
        self.expiries: dict[str, list[float]] = {}
        self.wants: dict[str, dict[Hashable, tuple[int, float]]] = {}
        self.spent: dict[str, int] = {}
        self.retry_at: dict[str, float] = {}

    def is_limited(self, target: replica.Replica) -> bool:
        """Return whether requests to a target need a permit."""
        return self.limits.rate(target) is not None

    def allows(self, target: replica.Replica) -> bool:
        """Return whether a request could be sent to a target now."""
        if not self.is_limited(target):
            return True
        with self.changed:
            return bool(self.unexpired(target.start_key))

    def take(self, target: replica.Replica) -> bool:
        """Use a permit for a target; return False if one is missing."""
        if not self.is_limited(target):
            return True
        with self.changed:
            expiries = self.unexpired(target.start_key)
            if not expiries:
                return False
            expiries.pop(0)
            return True

    def unexpired(self, start_key: str) -> list[float]:
        """Return the expiry times of the usable permits; needs the lock."""
        now = self.clock.monotonic()
        expiries = [x for x in self.expiries.get(start_key, ()) if x > now]
        if expiries:
            self.expiries[start_key] = expiries
        else:
            self.expiries.pop(start_key, None)
        return expiries

    def spend(self, target: replica.Replica) -> None:
        """Count a request that is sent to a target without a permit."""
        if self.is_limited(target):
            with self.changed:
                key = target.start_key
                self.spent[key] = self.spent.get(key, 0) + 1
            self.wanted.set()

    def want(
        self, target: replica.Replica, source: Hashable, count: int = 1
    ) -> None:
        """State how many permits a source needs for a target.

        Replaces what the same source stated before.
        """
        expires_at = self.clock.monotonic() + WANT_TTL_S
        with self.changed:
            sources = self.wants.setdefault(target.start_key, {})
            sources[source] = (count, expires_at)
        self.wanted.set()

    def wait(
        self,
        targets: Iterable[replica.Replica],
        source: Hashable,
        timeout_s: float,
    ) -> None:
        """Wait until one of several targets may be sent a request."""
        candidates = list(targets)
        for target in candidates:
            self.want(target, source)
        with self.changed:
            self.changed.wait_for(
                lambda: any(self.allows(target) for target in candidates),
                timeout_s,
            )

    def collect(self) -> list[permit_want.PermitWant]:
        """Return the wants that are due, and reset the spent counts."""
        now = self.clock.monotonic()
        due = []
        with self.changed:
            for key in list(self.wants):
                sources = {
                    source: entry
                    for source, entry in self.wants[key].items()
                    if entry[1] > now
                }
                if sources:
                    self.wants[key] = sources
                else:
                    del self.wants[key]
            for key in self.wants.keys() | self.spent.keys():
                spent = self.spent.pop(key, 0)
                count = 0
                if self.retry_at.get(key, 0.0) <= now:
                    sources = self.wants.get(key, {})
                    wanted = sum(entry[0] for entry in sources.values())
                    count = max(wanted - len(self.unexpired(key)), 0)
                if count or spent:
                    due.append(self.describe(key, count, spent))
        return due

    def describe(
        self, start_key: str, count: int, spent: int
    ) -> permit_want.PermitWant:
        """Return a want with what is known of the target's limit."""
        known = self.limits.limits.get(start_key)
        if known is None:
            return permit_want.PermitWant(
                start_key, count, spent, None, UNKNOWN_AGE_S
            )
        age_s = self.clock.monotonic() - known.observed_at
        return permit_want.PermitWant(
            start_key, count, spent, known.rate, age_s
        )

    def has_wants(self) -> bool:
        """Return whether any permits are wanted."""
        now = self.clock.monotonic()
        with self.changed:
            return any(
                entry[1] > now
                for sources in self.wants.values()
                for entry in sources.values()
            )

    def accept(
        self, grants: Iterable[permit_grant.PermitGrant], called_at: float
    ) -> None:
        """Keep permits that were issued and wake requests that wait.

        Parameters
        ----------
        grants : iterable of PermitGrant
            Reply of the issuer.
        called_at : float
            Monotonic time in seconds at which the issuer was called.
        """
        now = self.clock.monotonic()
        with self.changed:
            for grant in grants:
                key = grant.start_key
                self.limits.record(key, grant.rate, called_at - grant.age_s)
                self.retry_at[key] = now + grant.retry_s
                if grant.count:
                    expiries = self.expiries.setdefault(key, [])
                    expiries.extend([now + PERMIT_TTL_S] * grant.count)
            self.retry_at = {
                key: at for key, at in self.retry_at.items() if at > now
            }
            self.changed.notify_all()
