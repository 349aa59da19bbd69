"""The ledger: all shards, as one daemon sees them."""

import threading

from returns import result

from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt.ledger import claim
from chestnutshunt.ledger import entry
from chestnutshunt.ledger import shard_log
from chestnutshunt.store import object_store

__all__ = ['Ledger']

SHARDS = 32


class Ledger:
    """Claims identities in the shard that their digest selects.

    Parameters
    ----------
    store : ObjectStore
        Where the segments are kept.
    source : Clock
        Clock for ages.
    shards : int, optional
        Number of shards, the same in every daemon.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        source: clock.Clock,
        shards: int = SHARDS,
    ) -> None:
        self.store = store
        self.source = source
        self.shards = shards
        self.logs: dict[int, shard_log.ShardLog] = {}
        self.lock = threading.Lock()

    def shard_of(self, identity: str) -> int:
        """Return the shard of an identity."""
        return int(identity[:8], 16) % self.shards

    def claim(
        self, wanted: entry.Entry
    ) -> result.Result[claim.Claim, errors.ChestnutshuntError]:
        """Claim an identity; see `ShardLog.claim`."""
        return self.log(self.shard_of(wanted.identity)).claim(wanted)

    def log(self, shard: int) -> shard_log.ShardLog:
        """Return the view of one shard, made when first asked for."""
        with self.lock:
            if shard not in self.logs:
                self.logs[shard] = shard_log.ShardLog(
                    self.store, self.source, shard
                )
            return self.logs[shard]

    def forget(self, shard: int) -> None:
        """Drop the view of a shard, which can be read anew at any time."""
        with self.lock:
            self.logs.pop(shard, None)
