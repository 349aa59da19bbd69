"""Copy of platform objects whose revision never decreases.

The platform numbers all writes with one revision. A mirror at revision R
holds every change up to R, so R alone identifies the state of a mirror and a
peer is brought up to date by the changes after its revision.
"""

from collections.abc import Callable
import threading
from typing import Any

import attrs

from chestnutshunt.store import listing
from chestnutshunt.store import stored_object

__all__ = ['Changes', 'Mirror']

MAX_TOMBSTONE_COUNT = 10_000

Key = tuple[str, str]


@attrs.frozen
class Changes:
    """Changes that move a mirror from one revision to a later one.

    Attributes
    ----------
    through : int
        Revision of the mirror after the changes are applied.
    objects : tuple of StoredObject
        Changed objects, deletions included.
    whole : bool
        True for a snapshot of all live objects; any other object is deleted.
    """

    through: int
    objects: tuple[stored_object.StoredObject, ...]
    whole: bool = False


class Mirror:
    """Thread-safe copy of platform objects.

    Attributes
    ----------
    revision : int
        The mirror holds every change up to this revision.
    history_start : int
        Deletions up to this revision may have no tombstone any more, so a
        mirror at an earlier revision needs a snapshot.
    listeners : list of callable
        Called with the changes after they are applied, without the lock.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[Key, stored_object.StoredObject] = {}
        self.tombstones: dict[Key, int] = {}
        self.history_start = 0
        self.condition = threading.Condition()
        self.listeners: list[Callable[[Changes], None]] = []

    def apply(self, changes: Changes) -> bool:
        """Apply changes that start at or before this mirror's revision.

        Returns
        -------
        bool
            True if the revision increased; older changes are ignored.
        """
        with self.condition:
            if changes.through <= self.revision:
                return False
            if changes.whole:
                self.remove_missing(changes)
            for changed in changes.objects:
                self.apply_object(changed)
            self.revision = changes.through
            self.condition.notify_all()
        for listener in self.listeners:
            listener(changes)
        return True

    def apply_listing(self, snapshot: listing.Listing) -> bool:
        """Apply a snapshot of all live objects; see `apply`."""
        return self.apply(Changes(snapshot.revision, snapshot.objects, True))

    def changes_since(self, revision: int) -> Changes:
        """Return the changes that a mirror at `revision` lacks.

        They are a snapshot if `revision` is before `history_start`.
        """
        with self.condition:
            if revision < self.history_start:
                live = tuple(self.objects.values())
                return Changes(self.revision, live, whole=True)
            changed = [
                stored
                for stored in self.objects.values()
                if stored.version > revision
            ]
            changed += [
                stored_object.StoredObject(*key, version, {}, True)
                for key, version in self.tombstones.items()
                if version > revision
            ]
            return Changes(self.revision, tuple(changed))

    def get(self, kind: str, name: str) -> stored_object.StoredObject | None:
        """Return a live object, ``None`` if there is none."""
        return self.objects.get((kind, name))

    def objects_of_kind(self, kind: str) -> list[stored_object.StoredObject]:
        """Return the objects of a kind, ordered by name."""
        with self.condition:
            matching = [
                stored
                for key, stored in self.objects.items()
                if key[0] == kind
            ]
        return sorted(matching, key=lambda stored: stored.name)

    def wait_for(self, predicate: Callable[[], Any], timeout_s: float) -> bool:
        """Wait until `predicate` holds; return whether it does."""
        with self.condition:
            return bool(self.condition.wait_for(predicate, timeout_s))

    def remove_missing(self, changes: Changes) -> None:
        """Delete objects that a snapshot does not contain."""
        listed = {stored.key for stored in changes.objects}
        for key in [key for key in self.objects if key not in listed]:
            if self.objects[key].version <= changes.through:
                self.add_tombstone(key, changes.through)

    def apply_object(self, stored: stored_object.StoredObject) -> None:
        """Apply one object unless its version is already known."""
        current = self.objects.get(stored.key)
        known = current.version if current else 0
        known = max(known, self.tombstones.get(stored.key, 0))
        if stored.version <= known:
            return
        if stored.deleted:
            self.add_tombstone(stored.key, stored.version)
        else:
            self.objects[stored.key] = stored
            self.tombstones.pop(stored.key, None)

    def add_tombstone(self, key: Key, version: int) -> None:
        """Replace an object by a tombstone.

        Beyond `MAX_TOMBSTONE_COUNT` the oldest tombstone is dropped.
        """
        self.objects.pop(key, None)
        self.tombstones[key] = version
        if len(self.tombstones) > MAX_TOMBSTONE_COUNT:
            oldest = min(self.tombstones, key=self.tombstones.__getitem__)
            self.history_start = max(
                self.history_start, self.tombstones.pop(oldest)
            )
