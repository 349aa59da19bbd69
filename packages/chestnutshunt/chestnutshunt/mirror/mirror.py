"""Copy of some kinds of platform objects that only moves forward.

The platform numbers all writes with one revision. A mirror at revision R
holds every change up to R, so R alone tells two mirrors apart and a peer can
be brought up to date with the changes after its revision.
"""

from collections.abc import Callable
import threading
from typing import Any

import attrs

from chestnutshunt.store import listing
from chestnutshunt.store import stored_object

__all__ = ['Changes', 'Mirror']

MAX_TOMBSTONES = 10_000

Key = tuple[str, str]


@attrs.frozen
class Changes:
    """Changes that bring a mirror from one revision to another.

    Attributes
    ----------
    through : int
        Revision reached when the changes are applied.
    objects : tuple of StoredObject
        Changed objects, deletions included.
    whole : bool
        True if the objects are all there are, so that others are gone.
    """

    through: int
    objects: tuple[stored_object.StoredObject, ...]
    whole: bool = False


class Mirror:
    """Thread-safe copy of platform objects.

    Attributes
    ----------
    revision : int
        Every change up to here is held.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[Key, stored_object.StoredObject] = {}
        self.tombstones: dict[Key, int] = {}
        self.history_start = 0
        self.changed = threading.Condition()
        self.listeners: list[Callable[[Changes], None]] = []

    def apply(self, changes: Changes) -> bool:
        """Apply changes that start at or before this mirror's revision.

        Returns
        -------
        bool
            True if anything moved; older changes are ignored.
        """
        with self.changed:
            if changes.through <= self.revision:
                return False
            if changes.whole:
                self.remove_missing(changes)
            for held in changes.objects:
                self.apply_object(held)
            self.revision = changes.through
            self.changed.notify_all()
        for listener in self.listeners:
            listener(changes)
        return True

    def apply_listing(self, listed: listing.Listing) -> bool:
        """Apply a list of all live objects."""
        return self.apply(Changes(listed.revision, listed.objects, True))

    def changes_since(self, revision: int) -> Changes:
        """Return what a mirror at `revision` misses."""
        with self.changed:
            if revision < self.history_start:
                live = tuple(self.objects.values())
                return Changes(self.revision, live, whole=True)
            found = [
                held
                for held in self.objects.values()
                if held.version > revision
            ]
            found += [
                stored_object.StoredObject(*key, version, {}, True)
                for key, version in self.tombstones.items()
                if version > revision
            ]
            return Changes(self.revision, tuple(found))

    def get(self, kind: str, name: str) -> stored_object.StoredObject | None:
        """Return an object, or ``None``."""
        return self.objects.get((kind, name))

    def objects_of_kind(self, kind: str) -> list[stored_object.StoredObject]:
        """Return the objects of a kind, ordered by name."""
        with self.changed:
            found = [
                held for key, held in self.objects.items() if key[0] == kind
            ]
        return sorted(found, key=lambda held: held.name)

    def wait_for(self, test: Callable[[], Any], timeout: float) -> bool:
        """Wait until `test` is true after a change."""
        with self.changed:
            return bool(self.changed.wait_for(test, timeout))

    def remove_missing(self, changes: Changes) -> None:
        """Drop objects that a whole listing no longer shows."""
        shown = {held.key for held in changes.objects}
        for key in [key for key in self.objects if key not in shown]:
            if self.objects[key].version <= changes.through:
                self.add_tombstone(key, changes.through)

    def apply_object(self, held: stored_object.StoredObject) -> None:
        """Take over one object unless a newer version is held."""
        current = self.objects.get(held.key)
        known = current.version if current else 0
        known = max(known, self.tombstones.get(held.key, 0))
        if held.version <= known:
            return
        if held.deleted:
            self.add_tombstone(held.key, held.version)
        else:
            self.objects[held.key] = held
            self.tombstones.pop(held.key, None)

    def add_tombstone(self, key: Key, version: int) -> None:
        """Replace an object by the bounded mark of its deletion."""
        self.objects.pop(key, None)
        self.tombstones[key] = version
        if len(self.tombstones) > MAX_TOMBSTONES:
            oldest = min(self.tombstones, key=self.tombstones.__getitem__)
            self.history_start = max(
                self.history_start, self.tombstones.pop(oldest)
            )
