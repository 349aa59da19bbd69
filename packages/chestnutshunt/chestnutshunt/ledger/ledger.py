"""Sharded ledger of run-once requests."""

import threading

from returns import result

from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt.ledger import claim
from chestnutshunt.ledger import entry
from chestnutshunt.ledger import shard_log
from chestnutshunt.store import object_store

__all__ = ['Ledger']

SHARD_COUNT = 32


class Ledger:
    """Claims identities in the shards selected by their digests.

    Thread-safe.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the segments.
    clock : Clock
        Clock for the age of views and entries.
    shard_count : int, optional
        Number of shards, the same in every daemon.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        clock: clock.Clock,
        shard_count: int = SHARD_COUNT,
    ) -> None:
        self.store = store
        self.clock = clock
        self.shard_count = shard_count
        self.shard_logs: dict[int, shard_log.ShardLog] = {}
        self.lock = threading.Lock()

    def shard_of(self, identity: str) -> int:
        """Return the number of the shard for an identity."""
        return int(identity[:8], 16) % self.shard_count

    def claim(
        self, candidate: entry.Entry
    ) -> result.Result[claim.Claim, errors.ChestnutshuntError]:
        """Claim an identity; see `ShardLog.claim`."""
        return self.open_shard(self.shard_of(candidate.identity)).claim(
            candidate
        )

    def open_shard(self, shard: int) -> shard_log.ShardLog:
        """Return the view of a shard, creating it on first use."""
        with self.lock:
            if shard not in self.shard_logs:
                self.shard_logs[shard] = shard_log.ShardLog(
                    self.store, self.clock, shard
                )
            return self.shard_logs[shard]

    def drop_shard(self, shard: int) -> None:
        """Drop the view of a shard; it is read again on the next use."""
        with self.lock:
            self.shard_logs.pop(shard, None)
