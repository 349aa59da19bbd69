"""One shard of the ledger: numbered segments, each created once.

A writer adds segment n + 1 by a conditional create after it has read the
segments up to n. A writer that loses reads the winner's segment, checks its
claims again and tries the next number. Of all claims on an identity, the
first in the log counts. No lease is needed and any daemon may write; that
one daemon does most of the writing only saves conflicts.

Expired segments are deleted from the oldest on. Each segment names the nonce
of the one before it, so that a segment made by a paused writer in place of a
deleted one does not link to its successor and is ignored.
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

LEDGER_KIND = 'ledger'
"""With the shard's number, the kind of its segments."""

MAX_BATCH = 500
"""Entries in one segment, which keeps it far below the largest value."""

MAX_TRIES = 8

MAX_WRITES_PER_S = 5.0
"""Writes a second of one shard, after as many that go at once."""

VIEW_LIFETIME = 20.0
"""Seconds after which segments may have been trimmed unseen.

Segments are trimmed only when all their entries have expired, and the
shortest window is 60 s, so that a view younger than this misses nothing.
"""

TRIM_GRACE = 30.0
"""Seconds an entry outlives its window, for clocks that differ."""


@attrs.define(eq=False)
class Pending:
    """An entry that waits to be written.

    Attributes
    ----------
    wanted : Entry
        What to write.
    outcome : Result or None
        Set once it is decided.
    leads : bool
        True if its thread has to write the next segment.
    moved : Event
        Set when `outcome` or `leads` changes.
    """

    wanted: entry.Entry
    outcome: result.Result[claim.Claim, errors.ChestnutshuntError] | None = (
        None
    )
    leads: bool = False
    moved: threading.Event = attrs.field(factory=threading.Event)


class ShardLog:
    """A daemon's view of one shard, and its writer.

    Parameters
    ----------
    store : ObjectStore
        Where the segments are kept.
    source : Clock
        Clock for the age of the view and of entries.
    shard : int
        Number of the shard.
    """

    def __init__(
        self, store: object_store.ObjectStore, source: clock.Clock, shard: int
    ) -> None:
        self.store = store
        self.source = source
        self.kind = f'{LEDGER_KIND}-{shard:03d}'
        self.next_number = 0
        self.tail_nonce = ''
        self.entries: dict[str, entry.Entry] = {}
        self.segments: dict[int, tuple[int, float]] = {}
        self.viewed_at: float | None = None
        self.queue: list[Pending] = []
        self.writing = False
        self.write_rate = token_bucket.TokenBucket(source, MAX_WRITES_PER_S)
        self.queue_lock = threading.Lock()
        self.commit_lock = threading.Lock()
        self.writes = 0
        self.conflicts = 0

    def claim(
        self, wanted: entry.Entry
    ) -> result.Result[claim.Claim, errors.ChestnutshuntError]:
        """Claim an identity, or release a claim that was never used.

        Entries that arrive while a segment is being written share the next.

        Parameters
        ----------
        wanted : Entry
            The claim; repeated with the same nonce it is granted again.

        Returns
        -------
        Result
            The claim in force, or `LedgerUnavailable`.
        """
        pending = Pending(wanted)
        with self.queue_lock:
            self.queue.append(pending)
            if not self.writing:
                self.writing = True
                pending.leads = True
                pending.moved.set()
        pending.moved.wait()
        if pending.leads:
            self.lead()
        return pending.outcome

    def lead(self) -> None:
        """Write all waiting entries, then let a later one take over."""
        self.pace()
        with self.queue_lock:
            batch = self.queue[:MAX_BATCH]
            del self.queue[:MAX_BATCH]
        try:
            with self.commit_lock:
                self.commit(batch)
        finally:
            self.hand_on(batch)

    def pace(self) -> None:
        """Wait while the shard writes too often; more entries join then."""
        while wait := self.write_rate.take(1.0):
            self.source.sleep(wait)

    def hand_on(self, batch: list[Pending]) -> None:
        """Wake the threads of a batch and the next one to write."""
        lost = errors.LedgerUnavailable('The ledger could not be written.')
        with self.queue_lock:
            self.writing = bool(self.queue)
            if self.queue:
                self.queue[0].leads = True
                self.queue[0].moved.set()
        for item in batch:
            if item.outcome is None:
                item.outcome = result.Failure(lost)
            item.moved.set()

    def commit(self, batch: list[Pending]) -> None:
        """Give each pending entry its outcome."""
        failure: errors.ChestnutshuntError | None = None
        for _ in range(MAX_TRIES):
            failure = self.ensure_view()
            if failure is not None:
                break
            fresh = self.settle_known(batch)
            if not fresh:
                return
            failure = self.append([item.wanted for item in fresh])
            self.distrust_old_view()
            if isinstance(failure, errors.PlatformUncertain):
                self.viewed_at = None
                break
            if failure is not None and not isinstance(
                failure, errors.Conflict
            ):
                break
        unavailable = errors.LedgerUnavailable(
            f'The ledger could not be written: {failure}'
        )
        for item in batch:
            if item.outcome is None:
                item.outcome = result.Failure(unavailable)

    def distrust_old_view(self) -> None:
        """Read anew after a write that was made on top of an old view."""
        if self.viewed_at is None:
            return
        if self.source.monotonic() - self.viewed_at >= VIEW_LIFETIME:
            self.viewed_at = None

    def settle_known(self, batch: list[Pending]) -> list[Pending]:
        """Settle what the view decides; return what must be written."""
        fresh: list[Pending] = []
        claimed: set[str] = set()
        for item in batch:
            if item.outcome is not None:
                continue
            held = self.live_entry(item.wanted.identity)
            if self.decided(item.wanted, held):
                in_force = held or item.wanted
                granted = in_force.nonce == item.wanted.nonce
                item.outcome = result.Success(claim.Claim(granted, in_force))
            elif item.wanted.identity not in claimed:
                claimed.add(item.wanted.identity)
                fresh.append(item)
        return fresh

    def decided(self, wanted: entry.Entry, held: entry.Entry | None) -> bool:
        """Tell whether the view already holds the entry's outcome."""
        if wanted.released:
            return held is None or held.nonce != wanted.nonce
        return held is not None

    def live_entry(self, identity: str) -> entry.Entry | None:
        """Return the claim in force on an identity."""
        held = self.entries.get(identity)
        if held is not None and held.expires_at > self.source.wall():
            return held
        return None

    def append(
        self, entries: list[entry.Entry]
    ) -> errors.ChestnutshuntError | None:
        """Create the next segment; return what went wrong, if anything."""
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
                self.fold(self.next_number, stored.version, stored.value)
                return None
            case result.Failure(errors.Conflict()) as lost:
                self.conflicts += 1
                self.read_next()
                return lost.failure()
            case _:
                return written.failure()

    def ensure_view(self) -> errors.ChestnutshuntError | None:
        """Read the shard anew if the view may have missed a trimming."""
        now = self.source.monotonic()
        if self.viewed_at is not None:
            if now - self.viewed_at < VIEW_LIFETIME or self.next_is_absent():
                return None
        return self.read_all()

    def next_is_absent(self) -> bool:
        """Confirm a view by the newest segment still being the newest."""
        began = self.source.monotonic()
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
        self.viewed_at = began
        return True

    def read_all(self) -> errors.ChestnutshuntError | None:
        """Build the view from all segments of the shard."""
        began = self.source.monotonic()
        match self.store.list_kind(self.kind):
            case result.Success(listed):
                self.rebuild(linked(listed.objects))
                self.viewed_at = began
                return None
            case result.Failure(error):
                return error
        return None

    def rebuild(self, objects: list[stored_object.StoredObject]) -> None:
        """Build the view from linked segments."""
        self.entries.clear()
        self.segments.clear()
        self.next_number = 0
        self.tail_nonce = ''
        for held in objects:
            self.fold(number_of(held), held.version, held.value)

    def read_next(self) -> None:
        """Read the segment that another writer created."""
        name = segment_name(self.next_number)
        match self.store.get(self.kind, name):
            case result.Success(found) if found is not None:
                self.fold(self.next_number, found.version, found.value)
            case _:
                self.viewed_at = None

    def fold(self, number: int, version: int, value: dict[str, Any]) -> None:
        """Apply a segment to the view; the first claim counts."""
        latest_expiry = 0.0
        for fields in value['entries']:
            item = entry.Entry.decode(fields)
            latest_expiry = max(latest_expiry, item.expires_at)
            held = self.live_entry(item.identity)
            if item.released:
                if held is not None and held.nonce == item.nonce:
                    del self.entries[item.identity]
            elif held is None:
                self.entries[item.identity] = item
        self.segments[number] = (version, latest_expiry)
        self.next_number = number + 1
        self.tail_nonce = value['nonce']

    def trim(self) -> int:
        """Delete the oldest segments that hold only expired entries.

        Returns
        -------
        int
            Number of segments deleted. The newest one always stays, so that
            the next number can be found.
        """
        with self.commit_lock:
            if self.ensure_view() is not None:
                return 0
            limit = self.source.wall() - TRIM_GRACE
            deleted = 0
            for number in sorted(self.segments)[:-1]:
                version, expiry = self.segments[number]
                if expiry > limit:
                    break
                name = segment_name(number)
                gone = self.store.delete(self.kind, name, version)
                if not isinstance(gone, result.Success):
                    self.viewed_at = None
                    break
                del self.segments[number]
                deleted += 1
            self.drop_expired(limit)
            return deleted

    def drop_expired(self, limit: float) -> None:
        """Forget claims whose window is long over."""
        for identity, held in list(self.entries.items()):
            if held.expires_at <= limit:
                del self.entries[identity]


def segment_name(number: int) -> str:
    """Return the name of a segment in the store."""
    return f'{number:010d}'


def number_of(held: stored_object.StoredObject) -> int:
    """Return the number of a segment."""
    return int(held.name)


def linked(
    objects: tuple[stored_object.StoredObject, ...],
) -> list[stored_object.StoredObject]:
    """Return the segments that link to the newest one, oldest first."""
    by_number = {number_of(held): held for held in objects}
    if not by_number:
        return []
    number = max(by_number)
    chain = [by_number[number]]
    while True:
        number -= 1
        before = by_number.get(number)
        expected = chain[-1].value['previous']
        if before is None or before.value['nonce'] != expected:
            break
        chain.append(before)
    chain.reverse()
    return chain
