"""Distributed rate limiting: one daemon's share of a workspace's limit."""

import threading

from returns import result

from chestnutshunt.admission import share
from chestnutshunt.admission import share_record
from chestnutshunt.admission import token_bucket
from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object

__all__ = ['ShareLimiter']

DEMAND_SMOOTHING_RATIO = 0.5
DEMAND_HEADROOM_RATIO = 1.5

# Smaller relative changes of a holding or demand are not written.
MIN_DEMAND_CHANGE_RATIO = 0.25

MIN_RETRY_AFTER_S = 1.0


class ShareLimiter:
    """Limits a workspace's requests in this daemon to the daemon's holding.

    A holding is raised only after the store has confirmed it and lowered
    before it is written, so that the sum over all daemons never exceeds the
    limit. During an outage of the store the last holding stays in use.
    Thread-safe.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the share record.
    clock : Clock
        Clock for rates and demands.
    workspace : str
        Workspace that is limited.
    owner : str
        Name and incarnation of this daemon.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        clock: clock.Clock,
        workspace: str,
        owner: str,
    ) -> None:
        self.store = store
        self.clock = clock
        self.workspace = workspace
        self.owner = owner
        self.limit = share.Share()
        self.holding = share.Share()
        self.request_bucket = token_bucket.TokenBucket(clock, 0.0)
        self.token_bucket = token_bucket.TokenBucket(clock, 0.0)
        self.in_flight = 0
        self.peak_in_flight = 0
        self.offered_requests = 0
        self.offered_tokens = 0.0
        self.demand = share.Share()
        self.published_demand = share.Share()
        self.record = share_record.ShareRecord()
        self.version = object_store.ABSENT
        self.write_uncertain = False
        self.measured_at = clock.monotonic()
        self.lock = threading.Lock()
        self.adjust_lock = threading.Lock()

    def acquire(self, tokens: float) -> None:
        """Admit a request of up to `tokens`, or raise `LimitReached`."""
        with self.lock:
            self.offered_requests += 1
            self.offered_tokens += tokens
            self.peak_in_flight = max(self.peak_in_flight, self.in_flight + 1)
            self.check_concurrency()
            self.take_units(
                self.request_bucket, self.limit.requests, 1.0, 'requests/s'
            )
            try:
                self.take_units(
                    self.token_bucket, self.limit.tokens, tokens, 'tokens/s'
                )
            except errors.LimitReached:
                self.request_bucket.refund(1.0)
                raise
            self.in_flight += 1

    def check_concurrency(self) -> None:
        """Raise `LimitReached` if the held concurrency is in use."""
        if not self.limit.concurrency:
            return
        if self.in_flight >= int(self.holding.concurrency + 1e-6):
            raise errors.LimitReached(
                f'{self.workspace} is at its limit of concurrent requests.',
                retry_after_s=MIN_RETRY_AFTER_S,
            )

    def take_units(
        self,
        bucket: token_bucket.TokenBucket,
        limit: float,
        units: float,
        what: str,
    ) -> None:
        """Take units from a bucket, or raise `LimitReached`; 0 is no limit."""
        if not limit:
            return
        wait = bucket.take(units)
        if wait:
            raise errors.LimitReached(
                f'{self.workspace} is at its limit of {what}.',
                retry_after_s=max(wait, MIN_RETRY_AFTER_S),
            )

    def release(self, unused_tokens: float) -> None:
        """Count a finished request and refund the tokens it did not use."""
        with self.lock:
            self.in_flight -= 1
            if self.limit.tokens and unused_tokens > 0:
                self.token_bucket.refund(unused_tokens)

    def update_demand(self) -> None:
        """Update the demand from the load offered since the last call."""
        with self.lock:
            now = self.clock.monotonic()
            elapsed_s = max(now - self.measured_at, 1e-3)
            measured = share.Share(
                self.offered_requests / elapsed_s * DEMAND_HEADROOM_RATIO,
                self.offered_tokens / elapsed_s * DEMAND_HEADROOM_RATIO,
                float(self.peak_in_flight) * DEMAND_HEADROOM_RATIO,
            )
            self.demand = share.Share(
                smooth_demand(self.demand.requests, measured.requests),
                smooth_demand(self.demand.tokens, measured.tokens),
                smooth_demand(self.demand.concurrency, measured.concurrency),
            )
            self.offered_requests = 0
            self.offered_tokens = 0.0
            self.peak_in_flight = self.in_flight
            self.measured_at = now

    def adjust(
        self,
        seen: stored_object.StoredObject | None,
        limit: share.Share,
        gone: set[str],
    ) -> None:
        """Move this daemon's holding towards its fair share.

        Parameters
        ----------
        seen : StoredObject or None
            The record in the local mirror, which may be stale.
        limit : Share
            Limit of the workspace in force.
        gone : set of str
            Owners that are known to have terminated.
        """
        with self.adjust_lock:
            if self.write_uncertain:
                self.resolve_write()
            elif seen is not None and seen.version > self.version:
                self.adopt_record(seen)
            if self.write_uncertain:
                allowed = self.record.usable(self.owner, limit)
                self.apply_holding(
                    limit, elementwise_min(self.holding, allowed)
                )
                return
            self.publish(limit, gone)

    def resolve_write(self) -> None:
        """Read the record after a write whose outcome is unknown."""
        outcome = self.store.get(share_record.SHARE_KIND, self.workspace)
        match outcome:
            case result.Success(stored):
                self.write_uncertain = False
                if stored is not None:
                    self.adopt_record(stored)

    def adopt_record(self, stored: stored_object.StoredObject) -> None:
        """Use a newer version of the record."""
        self.record = share_record.ShareRecord.decode(stored.value)
        self.version = stored.version

    def publish(self, limit: share.Share, gone: set[str]) -> None:
        """Write the rebalanced record and apply the holding it allows.

        During the write the smaller of the old and the new holding applies.
        No request is admitted between the count of those running, which the
        new holding covers, and the moment at which it applies.
        """
        live_record = self.record.without_owners(gone)
        with_demand = live_record.with_demand(self.owner, self.demand)
        before = self.record.usable(self.owner, limit)
        with self.lock:
            in_use = share.Share(concurrency=float(self.in_flight))
            rebalanced = with_demand.rebalanced(self.owner, limit, in_use)
            after = rebalanced.usable(self.owner, limit)
            self.set_holding(limit, elementwise_min(before, after))
        if not self.needs_write(rebalanced):
            self.apply_holding(limit, before)
            return
        written = self.store.put(
            share_record.SHARE_KIND,
            self.workspace,
            rebalanced.encode(),
            self.version,
        )
        match written:
            case result.Success(stored):
                self.published_demand = self.demand
                self.adopt_record(stored)
                self.apply_holding(limit, after)
            case result.Failure(errors.PlatformUnavailable()):
                self.apply_holding(limit, before)
            case _:
                self.write_uncertain = True

    def needs_write(self, rebalanced: share_record.ShareRecord) -> bool:
        """Return whether the record has changed enough to be written."""
        if set(self.record.holdings) != set(rebalanced.holdings):
            return True
        old = self.record.holdings[self.owner]
        new = rebalanced.holdings[self.owner]
        return (
            differs_enough(old.requests, new.requests)
            or differs_enough(old.tokens, new.tokens)
            or differs_enough(old.concurrency, new.concurrency)
            or differs_enough(
                self.published_demand.requests, self.demand.requests
            )
            or differs_enough(self.published_demand.tokens, self.demand.tokens)
            or differs_enough(
                self.published_demand.concurrency, self.demand.concurrency
            )
        )

    def apply_holding(self, limit: share.Share, holding: share.Share) -> None:
        """Limit requests to a holding from now on."""
        with self.lock:
            self.set_holding(limit, holding)

    def set_holding(self, limit: share.Share, holding: share.Share) -> None:
        """Limit requests to a holding; needs the lock."""
        self.limit = limit
        self.holding = holding
        self.request_bucket.set_rate(holding.requests)
        self.token_bucket.set_rate(holding.tokens)


def smooth_demand(old: float, new: float) -> float:
    """Return a rising demand as it is and a falling one smoothed."""
    if new >= old:
        return new
    return old + (new - old) * DEMAND_SMOOTHING_RATIO


def differs_enough(old: float, new: float) -> bool:
    """Return whether a value has changed enough to be written."""
    return abs(new - old) > MIN_DEMAND_CHANGE_RATIO * max(old, 0.1)


def elementwise_min(one: share.Share, other: share.Share) -> share.Share:
    """Return the minimum of two shares in each dimension."""
    return share.Share(
        min(one.requests, other.requests),
        min(one.tokens, other.tokens),
        min(one.concurrency, other.concurrency),
    )
