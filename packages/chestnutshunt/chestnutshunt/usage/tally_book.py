"""Usage tallies of this daemon and copies of those of its peers.

A tally only grows and has one writer. Copies are therefore merged by taking
the maximum, in any order and any number of times.
"""

from collections.abc import Mapping
import threading

from chestnutshunt.usage import count
from chestnutshunt.usage import tally_key

__all__ = ['TallyBook']

KEPT_WINDOW_COUNT = 8
MAX_TALLY_COUNT = 200_000


class TallyBook:
    """Thread-safe table of tallies by window, owner and workspace.

    Parameters
    ----------
    owner : str
        Name of this daemon, with its incarnation.
    """

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.tallies: dict[tally_key.TallyKey, count.Count] = {}
        self.lock = threading.Lock()

    def add(
        self, window: int, workspace: str, used: count.Count
    ) -> tally_key.TallyKey:
        """Add usage to a tally of this daemon and return its key."""
        key = tally_key.TallyKey(window, self.owner, workspace)
        with self.lock:
            current = self.tallies.get(key, count.Count())
            self.tallies[key] = current.plus(used)
            return key

    def merge(self, tallies: Mapping[tally_key.TallyKey, count.Count]) -> None:
        """Merge copies of tallies and drop old windows."""
        with self.lock:
            for key, other in tallies.items():
                current = self.tallies.get(key, count.Count())
                self.tallies[key] = current.maximum(other)
            self.drop_old()

    def tallies_since(
        self, window: int
    ) -> dict[tally_key.TallyKey, count.Count]:
        """Return the tallies of a window and of later windows."""
        with self.lock:
            return {
                key: tally
                for key, tally in self.tallies.items()
                if key.window >= window
            }

    def select(
        self, keys: set[tally_key.TallyKey]
    ) -> dict[tally_key.TallyKey, count.Count]:
        """Return the tallies of the given keys."""
        with self.lock:
            return {key: self.tallies[key] for key in keys}

    def drop_old(self) -> None:
        """Drop windows too old to be reported, and bound the table.

        The caller holds the lock.
        """
        if not self.tallies:
            return
        newest = max(key.window for key in self.tallies)
        oldest = newest - KEPT_WINDOW_COUNT
        for key in [key for key in self.tallies if key.window < oldest]:
            del self.tallies[key]
        for key in sorted(self.tallies)[:-MAX_TALLY_COUNT]:
            del self.tallies[key]
