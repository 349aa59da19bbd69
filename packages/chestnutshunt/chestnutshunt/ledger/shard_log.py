"""Shard of the ledger: an append-only log of numbered segments.

A writer that has read the segments up to n appends segment n + 1 by a
conditional create. A writer that loses the race reads the winner's segment,
checks its claims again and tries the next number. The first claim on an
identity in the log is in force. No lease is needed and any daemon may write;
having one daemon do most of the writing only reduces conflicts.

Expired segments are deleted from the oldest on. Each segment holds the nonce
of its predecessor. A segment that a paused writer creates under a deleted
number is therefore not linked to its successor and is ignored.
"""

import secrets
import threading
from typing import Any

import attrs
from returns import result

from chestnutshunt.admission import token_bucket
from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt.ledger import claim
from chestnutshunt.ledger import entry
from chestnutshunt import steps
from chestnutshunt.store import object_store
from chestnutshunt.store import put_with_readback
from chestnutshunt.store import stored_object

__all__ = ['LEDGER_KIND', 'ShardLog']

# Prefix of the object kind of a shard's segments.
LEDGER_KIND = 'ledger'

# Entries in one segment; keeps it far below the maximum size of a value.
MAX_BATCH_COUNT = 500

MAX_ATTEMPT_COUNT = 8

# Writes of one shard, after a burst of the same number.
MAX_WRITES_PER_S = 5.0

# Age from which a view may have missed trimmed segments. Segments are trimmed
# only when all their entries have expired, and the shortest window is 60 s, so
# a younger view has missed nothing.
VIEW_LIFETIME_S = 20.0

# Time that an entry outlives its window, since wall clocks differ.
TRIM_GRACE_S = 30.0


@attrs.define(eq=False)
class PendingEntry:
    """An entry that waits for group commit.

    Attributes
    ----------
    candidate : Entry
        Entry to write.
    outcome : Result or None
        Result for the waiting thread; None until it is decided.
    is_leader : bool
        True if the waiting thread has to write the next segment.
    wakeup : Event
        Set when `outcome` or `is_leader` changes.
    """

    candidate: entry.Entry
    outcome: result.Result[claim.Claim, errors.ChestnutshuntError] | None = (
        None
    )
    is_leader: bool = False
    wakeup: threading.Event = attrs.field(factory=threading.Event)


class ShardLog:
    """A daemon's view of one shard, with group commit of its claims.

    Thread-safe. Entries that arrive while a segment is being written share
    the next one, written by the thread of the first of them.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the segments.
    clock : Clock
        Clock for the age of the view and of entries.
    shard : int
        Number of the shard.
    """

    def __init__(
        self, store: object_store.ObjectStore, clock: clock.Clock, shard: int
    ) -> None:
        self.store = store
        self.clock = clock
        self.kind = f'{LEDGER_KIND}-{shard:03d}'
        self.next_number = 0
        self.tail_nonce = ''
        self.entries: dict[str, entry.Entry] = {}
        self.segments: dict[int, tuple[int, float]] = {}
        self.viewed_at: float | None = None
        self.queue: list[PendingEntry] = []
        self.writing = False
        self.write_bucket = token_bucket.TokenBucket(clock, MAX_WRITES_PER_S)
        self.queue_lock = threading.Lock()
        self.commit_lock = threading.Lock()
        self.writes = 0
        self.conflicts = 0

    def claim(
        self, candidate: entry.Entry
    ) -> result.Result[claim.Claim, errors.ChestnutshuntError]:
        """Claim an identity, or release a claim that was never used.

        Blocks until the entry is committed or has failed.

        Parameters
        ----------
        candidate : Entry
            Claim or release; a repeated claim with the same nonce is granted
            again.

        Returns
        -------
        Result
            The claim in force, or `LedgerUnavailable`.
        """
        pending = PendingEntry(candidate)
        with self.queue_lock:
            self.queue.append(pending)
            if not self.writing:
                self.writing = True
                pending.is_leader = True
                pending.wakeup.set()
        pending.wakeup.wait()
        if pending.is_leader:
            self.lead_commit()
        return pending.outcome

    def lead_commit(self) -> None:
        """Commit a batch of waiting entries, then promote the next leader."""
        self.throttle()
        with self.queue_lock:
            batch = self.queue[:MAX_BATCH_COUNT]
            del self.queue[:MAX_BATCH_COUNT]
        try:
            with self.commit_lock:
                self.commit(batch)
        finally:
            self.promote_next_leader(batch)

    def throttle(self) -> None:
        """Wait for the rate limit; further entries join the batch."""
        while wait := self.write_bucket.take(1.0):
            self.clock.sleep(wait)

    def promote_next_leader(self, batch: list[PendingEntry]) -> None:
        """Make the first waiting entry the leader and wake a batch."""
        unwritten = errors.LedgerUnavailable(
            f'A segment of {self.kind} could not be written.'
        )
        with self.queue_lock:
            self.writing = bool(self.queue)
            if self.queue:
                self.queue[0].is_leader = True
                self.queue[0].wakeup.set()
        for item in batch:
            if item.outcome is None:
                item.outcome = result.Failure(unwritten)
            item.wakeup.set()

    def commit(self, batch: list[PendingEntry]) -> None:
        """Set the outcome of each pending entry; needs the commit lock."""
        failure: errors.ChestnutshuntError | None = None
        for _ in range(MAX_ATTEMPT_COUNT):
            failure = self.ensure_view()
            if failure is not None:
                break
            undecided = self.resolve_known(batch)
            if not undecided:
                return
            failure = self.append_segment(
                [item.candidate for item in undecided]
            )
            self.invalidate_old_view()
            if isinstance(failure, errors.PlatformUncertain):
                self.viewed_at = None
                break
            if failure is not None and not isinstance(
                failure, errors.Conflict
            ):
                break
        unavailable = errors.LedgerUnavailable(
            f'A segment of {self.kind} could not be written: {failure}'
        )
        for item in batch:
            if item.outcome is None:
                item.outcome = result.Failure(unavailable)

    def invalidate_old_view(self) -> None:
        """Invalidate a view that has expired during a write."""
        if self.viewed_at is None:
            return
        if self.clock.monotonic() - self.viewed_at >= VIEW_LIFETIME_S:
            self.viewed_at = None

    def resolve_known(self, batch: list[PendingEntry]) -> list[PendingEntry]:
        """Resolve the entries that the view decides; return the others.

        Of several entries with one identity only the first is returned.
        """
        undecided: list[PendingEntry] = []
        claimed: set[str] = set()
        for item in batch:
            if item.outcome is not None:
                continue
            current = self.live_entry(item.candidate.identity)
            if self.is_decided(item.candidate, current):
                in_force = current or item.candidate
                granted = in_force.nonce == item.candidate.nonce
                item.outcome = result.Success(claim.Claim(granted, in_force))
            elif item.candidate.identity not in claimed:
                claimed.add(item.candidate.identity)
                undecided.append(item)
        return undecided

    def is_decided(
        self, candidate: entry.Entry, current: entry.Entry | None
    ) -> bool:
        """Return whether the view decides the outcome of an entry."""
        if candidate.released:
            return current is None or current.nonce != candidate.nonce
        return current is not None

    def live_entry(self, identity: str) -> entry.Entry | None:
        """Return the unexpired claim on an identity, or None."""
        current = self.entries.get(identity)
        if current is not None and current.expires_at > self.clock.wall():
            return current
        return None

    def append_segment(
        self, entries: list[entry.Entry]
    ) -> errors.ChestnutshuntError | None:
        """Create the next segment; return the error, or None."""
        value = {
            'nonce': secrets.token_hex(6),
            'previous': self.tail_nonce,
            'entries': [item.encode() for item in entries],
        }
        name = segment_name(self.next_number)
        steps.reach('ledger.before_write')
        self.writes += 1
        written = put_with_readback.put_with_readback(
            self.store, self.kind, name, value, object_store.ABSENT
        )
        steps.reach('ledger.after_write')
        match written:
            case result.Success(stored):
                self.apply_segment(
                    self.next_number, stored.version, stored.value
                )
                return None
            case result.Failure(errors.Conflict()) as conflict:
                self.conflicts += 1
                self.read_next_segment()
                return conflict.failure()
            case _:
                return written.failure()

    def ensure_view(self) -> errors.ChestnutshuntError | None:
        """Read the shard again unless the view is current.

        Returns
        -------
        ChestnutshuntError or None
            Why the shard could not be read.
        """
        now = self.clock.monotonic()
        if self.viewed_at is not None:
            if now - self.viewed_at < VIEW_LIFETIME_S or self.confirm_newest():
                return None
        return self.read_segments()

    def confirm_newest(self) -> bool:
        """Refresh the view if its last segment is still the newest."""
        started_at = self.clock.monotonic()
        newest = segment_name(self.next_number - 1)
        following = segment_name(self.next_number)
        if not self.next_number:
            return False
        last = self.store.get(self.kind, newest).value_or(None)
        if last is None:
            return False
        absent = self.store.get(self.kind, following)
        if absent != result.Success(None):
            return False
        self.viewed_at = started_at
        return True

    def read_segments(self) -> errors.ChestnutshuntError | None:
        """Build the view from all segments; return the error, or None."""
        started_at = self.clock.monotonic()
        match self.store.list_kind(self.kind):
            case result.Success(listed):
                self.rebuild_view(linked_segments(listed.objects))
                self.viewed_at = started_at
                return None
            case result.Failure(exc):
                return exc
        return None

    def rebuild_view(self, objects: list[stored_object.StoredObject]) -> None:
        """Build the view from the segments of an unbroken chain."""
        self.entries.clear()
        self.segments.clear()
        self.next_number = 0
        self.tail_nonce = ''
        for stored in objects:
            self.apply_segment(
                segment_number(stored), stored.version, stored.value
            )

    def read_next_segment(self) -> None:
        """Apply the segment that another writer created."""
        name = segment_name(self.next_number)
        match self.store.get(self.kind, name):
            case result.Success(stored) if stored is not None:
                self.apply_segment(
                    self.next_number, stored.version, stored.value
                )
            case _:
                self.viewed_at = None

    def apply_segment(
        self, number: int, version: int, value: dict[str, Any]
    ) -> None:
        """Apply a segment to the view; the first claim is in force."""
        latest_expiry = 0.0
        for fields in value['entries']:
            item = entry.Entry.decode(fields)
            latest_expiry = max(latest_expiry, item.expires_at)
            current = self.live_entry(item.identity)
            if item.released:
                if current is not None and current.nonce == item.nonce:
                    del self.entries[item.identity]
            elif current is None:
                self.entries[item.identity] = item
        self.segments[number] = (version, latest_expiry)
        self.next_number = number + 1
        self.tail_nonce = value['nonce']

    def trim(self) -> int:
        """Delete the oldest segments whose entries have all expired.

        Returns
        -------
        int
            Number of deleted segments. The newest segment always stays, as
            it determines the next number.
        """
        with self.commit_lock:
            if self.ensure_view() is not None:
                return 0
            expired_before = self.clock.wall() - TRIM_GRACE_S
            deleted = 0
            for number in sorted(self.segments)[:-1]:
                version, expiry = self.segments[number]
                if expiry > expired_before:
                    break
                name = segment_name(number)
                deletion = self.store.delete(self.kind, name, version)
                if not isinstance(deletion, result.Success):
                    self.viewed_at = None
                    break
                del self.segments[number]
                deleted += 1
            self.drop_expired(expired_before)
            return deleted

    def drop_expired(self, expired_before: float) -> None:
        """Drop the claims that expired by a wall time from the view."""
        for identity, current in list(self.entries.items()):
            if current.expires_at <= expired_before:
                del self.entries[identity]


def segment_name(number: int) -> str:
    """Return the object name of a segment."""
    return f'{number:010d}'


def segment_number(stored: stored_object.StoredObject) -> int:
    """Return the number of a stored segment."""
    return int(stored.name)


def linked_segments(
    objects: tuple[stored_object.StoredObject, ...],
) -> list[stored_object.StoredObject]:
    """Return the chain that ends at the newest segment, oldest first."""
    by_number = {segment_number(stored): stored for stored in objects}
    if not by_number:
        return []
    number = max(by_number)
    chain = [by_number[number]]
    while True:
        number -= 1
        previous = by_number.get(number)
        expected = chain[-1].value['previous']
        if previous is None or previous.value['nonce'] != expected:
            break
        chain.append(previous)
    chain.reverse()
    return chain
