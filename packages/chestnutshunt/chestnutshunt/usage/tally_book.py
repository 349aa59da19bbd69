"""Tallies of this daemon and copies of others'.

A tally only grows and has one writer, so that copies are merged by taking the
larger one, in any order and any number of times.
"""

from collections.abc import Mapping
import threading

from chestnutshunt.usage import count
from chestnutshunt.usage import tally_key

__all__ = ['TallyBook']

KEPT_WINDOWS = 8
MAX_TALLIES = 200_000


class TallyBook:
    """Thread-safe tallies by window, owner and workspace.

    Parameters
    ----------
    owner : str
        This daemon, with its incarnation.
    """

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.tallies: dict[tally_key.TallyKey, count.Count] = {}
        self.lock = threading.Lock()

    def add(
        self, window: int, workspace: str, used: count.Count
    ) -> tally_key.TallyKey:
        """Count usage of this daemon; return the key of the tally."""
        key = tally_key.TallyKey(window, self.owner, workspace)
        with self.lock:
            held = self.tallies.get(key, count.Count())
            self.tallies[key] = held.plus(used)
            return key

    def merge(self, tallies: Mapping[tally_key.TallyKey, count.Count]) -> None:
        """Take over copies of tallies."""
        with self.lock:
            for key, other in tallies.items():
                held = self.tallies.get(key, count.Count())
                self.tallies[key] = held.maximum(other)
            self.drop_old()

    def tallies_since(
        self, window: int
    ) -> dict[tally_key.TallyKey, count.Count]:
        """Return all tallies of a window and later ones."""
        with self.lock:
            return {
                key: held
                for key, held in self.tallies.items()
                if key.window >= window
            }

    def select(
        self, keys: set[tally_key.TallyKey]
    ) -> dict[tally_key.TallyKey, count.Count]:
        """Return some tallies."""
        with self.lock:
            return {key: self.tallies[key] for key in keys}

    def drop_old(self) -> None:
        """Forget windows that can no longer be reported."""
        if not self.tallies:
            return
        newest = max(key.window for key in self.tallies)
        oldest = newest - KEPT_WINDOWS
        for key in [key for key in self.tallies if key.window < oldest]:
            del self.tallies[key]
        for key in sorted(self.tallies)[:-MAX_TALLIES]:
            del self.tallies[key]
