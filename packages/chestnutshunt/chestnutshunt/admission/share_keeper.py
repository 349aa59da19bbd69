"""One daemon's part of a workspace's limit."""

import threading

from returns import result

from chestnutshunt.admission import share
from chestnutshunt.admission import share_record
from chestnutshunt.admission import token_bucket
from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object

__all__ = ['ShareKeeper']

DEMAND_GAIN = 0.5
HEADROOM = 1.5
DEMAND_CHANGE = 0.25
"""Relative change of a demand that is worth a write."""

RETRY_AFTER = 1.0


class ShareKeeper:
    """Limits a workspace in this daemon to what the daemon holds.

    A holding is raised only after the platform has confirmed it and lowered
    before the platform is told, so that the daemons' sum never exceeds the
    limit. While the platform is away the last holding stays in use.

    Parameters
    ----------
    store : ObjectStore
        Where the record is kept.
    source : Clock
        Clock of the rates.
    workspace : str
        Whose limit it is.
    owner : str
        This daemon, with its incarnation.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        source: clock.Clock,
        workspace: str,
        owner: str,
    ) -> None:
        self.store = store
        self.source = source
        self.workspace = workspace
        self.owner = owner
        self.limit = share.Share()
        self.holding = share.Share()
        self.requests = token_bucket.TokenBucket(source, 0.0)
        self.tokens = token_bucket.TokenBucket(source, 0.0)
        self.in_flight = 0
        self.peak = 0
        self.asked_requests = 0
        self.asked_tokens = 0.0
        self.demand = share.Share()
        self.stated = share.Share()
        self.record = share_record.ShareRecord()
        self.version = object_store.ABSENT
        self.unsettled = False
        self.counted_at = source.monotonic()
        self.lock = threading.Lock()
        self.adjusting = threading.Lock()

    def acquire(self, tokens: float) -> None:
        """Admit a request that may make `tokens`, or raise `LimitReached`."""
        with self.lock:
            self.asked_requests += 1
            self.asked_tokens += tokens
            self.peak = max(self.peak, self.in_flight + 1)
            self.check_concurrency()
            self.take(self.requests, self.limit.requests, 1.0, 'requests/s')
            try:
                self.take(self.tokens, self.limit.tokens, tokens, 'tokens/s')
            except errors.LimitReached:
                self.requests.give_back(1.0)
                raise
            self.in_flight += 1

    def check_concurrency(self) -> None:
        """Raise if the daemon's part of the concurrency is in use."""
        if not self.limit.concurrency:
            return
        if self.in_flight >= int(self.holding.concurrency + 1e-6):
            raise errors.LimitReached(
                f'{self.workspace} is at its limit of requests at one time.',
                retry_after=RETRY_AFTER,
            )

    def take(
        self,
        bucket: token_bucket.TokenBucket,
        limit: float,
        units: float,
        what: str,
    ) -> None:
        """Take units from a bucket if there is such a limit."""
        if not limit:
            return
        wait = bucket.take(units)
        if wait:
            raise errors.LimitReached(
                f'{self.workspace} is at its limit of {what}.',
                retry_after=max(wait, RETRY_AFTER),
            )

    def release(self, unused_tokens: float) -> None:
        """Count a request out and return the tokens it did not make."""
        with self.lock:
            self.in_flight -= 1
            if self.limit.tokens and unused_tokens > 0:
                self.tokens.give_back(unused_tokens)

    def measure(self) -> None:
        """Update the demand from what was asked since the last call."""
        with self.lock:
            now = self.source.monotonic()
            span = max(now - self.counted_at, 1e-3)
            seen = share.Share(
                self.asked_requests / span * HEADROOM,
                self.asked_tokens / span * HEADROOM,
                float(self.peak) * HEADROOM,
            )
            self.demand = share.Share(
                blend(self.demand.requests, seen.requests),
                blend(self.demand.tokens, seen.tokens),
                blend(self.demand.concurrency, seen.concurrency),
            )
            self.asked_requests = 0
            self.asked_tokens = 0.0
            self.peak = self.in_flight
            self.counted_at = now

    def adjust(
        self,
        seen: stored_object.StoredObject | None,
        limit: share.Share,
        gone: set[str],
    ) -> None:
        """Move this daemon's holding towards its fair part.

        Parameters
        ----------
        seen : StoredObject or None
            The record as a mirror shows it; it may lag.
        limit : Share
            The workspace's limit in force.
        gone : set of str
            Owners that are known to have ended.
        """
        with self.adjusting:
            if self.unsettled:
                self.read_again()
            elif seen is not None and seen.version > self.version:
                self.take_over(seen)
            if self.unsettled:
                allowed = self.record.usable(self.owner, limit)
                self.use(limit, smaller(self.holding, allowed))
                return
            self.move(limit, gone)

    def read_again(self) -> None:
        """Find out what became of a write whose reply was lost."""
        found = self.store.get(share_record.SHARE_KIND, self.workspace)
        match found:
            case result.Success(held):
                self.unsettled = False
                if held is not None:
                    self.take_over(held)

    def take_over(self, held: stored_object.StoredObject) -> None:
        """Work on a newer version of the record."""
        self.record = share_record.ShareRecord.decode(held.value)
        self.version = held.version

    def move(self, limit: share.Share, gone: set[str]) -> None:
        """Write the moved record and use what it allows."""
        known = self.record.without(gone)
        wanted = known.with_demand(self.owner, self.demand)
        least = share.Share(concurrency=float(self.in_flight))
        moved = wanted.moved(self.owner, limit, least)
        before = self.record.usable(self.owner, limit)
        after = moved.usable(self.owner, limit)
        self.use(limit, smaller(before, after))
        if not self.worth_writing(moved):
            self.use(limit, before)
            return
        written = self.store.put(
            share_record.SHARE_KIND,
            self.workspace,
            moved.encode(),
            self.version,
        )
        match written:
            case result.Success(stored):
                self.stated = self.demand
                self.take_over(stored)
                self.use(limit, after)
            case result.Failure(errors.PlatformUnavailable()):
                self.use(limit, before)
            case _:
                self.unsettled = True

    def worth_writing(self, moved: share_record.ShareRecord) -> bool:
        """Tell whether the record has changed enough."""
        if set(self.record.holdings) != set(moved.holdings):
            return True
        old = self.record.holdings[self.owner]
        new = moved.holdings[self.owner]
        return (
            differs(old.requests, new.requests)
            or differs(old.tokens, new.tokens)
            or differs(old.concurrency, new.concurrency)
            or differs(self.stated.requests, self.demand.requests)
            or differs(self.stated.tokens, self.demand.tokens)
            or differs(self.stated.concurrency, self.demand.concurrency)
        )

    def use(self, limit: share.Share, holding: share.Share) -> None:
        """Let requests use a holding from now on."""
        with self.lock:
            self.limit = limit
            self.holding = holding
            self.requests.set_rate(holding.requests)
            self.tokens.set_rate(holding.tokens)


def blend(old: float, new: float) -> float:
    """Follow a rising demand at once and a falling one slowly."""
    if new >= old:
        return new
    return old + (new - old) * DEMAND_GAIN


def differs(old: float, new: float) -> bool:
    """Tell whether a figure has changed enough to be written."""
    return abs(new - old) > DEMAND_CHANGE * max(old, 0.1)


def smaller(one: share.Share, other: share.Share) -> share.Share:
    """Return the smaller of two shares in each dimension."""
    return share.Share(
        min(one.requests, other.requests),
        min(one.tokens, other.tokens),
        min(one.concurrency, other.concurrency),
    )
