"""Local copy of all objects of one kind, which never goes back."""

from collections.abc import Callable
import threading

import attrs

from chestnutshunt import clock
from chestnutshunt.store import stored_object

__all__ = ['KindChanges', 'KindDigest', 'KindMirror']

# Removed names that are kept for peers that have not heard of the removal.
MAX_REMOVED_COUNT = 2000


@attrs.frozen
class KindDigest:
    """State of a mirror, small enough to be sent in every heartbeat.

    Attributes
    ----------
    through : int
        The mirror has every change up to this store revision.
    changed : int
        No change after this store revision is known of.
    age_s : float
        Seconds since a consistent read showed the mirror to be complete;
        negative if none ever did.
    """

    through: int
    changed: int
    age_s: float


@attrs.frozen
class KindChanges:
    """What changed after a store revision.

    Attributes
    ----------
    objects : tuple of StoredObject
        Objects added or changed.
    removed : tuple of str
        Names of removed objects.
    """

    objects: tuple[stored_object.StoredObject, ...]
    removed: tuple[str, ...]


class KindMirror:
    """Objects of one kind, read by this daemon or its peers.

    A read confirms the mirror as of the time the read began. A peer's digest
    confirms it as of the time the peer's mirror was confirmed: the digest's
    age, plus the time that the message took.

    All methods may be called from several threads. Listeners are called
    without arguments after a change, outside the lock.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    clock : Clock
        Clock that keeps counting while the VM is suspended.

    Attributes
    ----------
    confirmed_at : float or None
        Monotonic time in seconds at which the mirror was complete;
        ``None`` before the first read.
    announced : int
        Latest store revision of a change that a peer has announced.
    behind_since : float
        Monotonic time in seconds since which such a change has been missing
        here; counts only while `is_behind`.
    confirmation_gap_s : float
        Seconds between the last two confirmations.
    removed : dict of str to int
        Removed names, and the store revision at which each was missing.
    history_start : int
        All removals after this store revision are in `removed`.
    """

    def __init__(self, kind: str, clock: clock.Clock) -> None:
        self.kind = kind
        self.clock = clock
        self.objects: dict[str, stored_object.StoredObject] = {}
        self.through = 0
        self.changed = 0
        self.confirmed_at: float | None = None
        self.announced = 0
        self.behind_since = 0.0
        self.confirmation_gap_s = 0.0
        self.removed: dict[str, int] = {}
        self.history_start = 0
        self.lock = threading.RLock()
        self.listeners: list[Callable[[], None]] = []

    @property
    def age_s(self) -> float:
        """Seconds since the last confirmation; infinite if there is none."""
        if self.confirmed_at is None:
            return float('inf')
        return self.clock.monotonic() - self.confirmed_at

    @property
    def is_behind(self) -> bool:
        """True if nothing was read yet, or an announced change is missing."""
        return self.confirmed_at is None or self.announced > self.through

    @property
    def behind_s(self) -> float:
        """Seconds for which an announced change has been missing."""
        if self.announced <= self.through:
            return 0.0
        return self.clock.monotonic() - self.behind_since

    def digest(self) -> KindDigest:
        """Return the state of the mirror for a heartbeat."""
        with self.lock:
            is_confirmed = self.confirmed_at is not None
            return KindDigest(
                self.through,
                self.changed,
                self.age_s if is_confirmed else -1.0,
            )

    def apply_listing(
        self,
        revision: int,
        objects: tuple[stored_object.StoredObject, ...],
        confirmed_at: float,
        changed: int | None = None,
    ) -> bool:
        """Replace the objects by a list of all objects at a revision.

        A list from before the mirror's revision is ignored.

        Parameters
        ----------
        revision : int
            Store revision of the list.
        objects : tuple of StoredObject
            All objects of the kind.
        confirmed_at : float
            Monotonic time in seconds before which the list was not
            requested.
        changed : int, optional
            Revision after which a peer knows of no change; by default the
            revision of the list.

        Returns
        -------
        bool
            True if an object was added, changed or removed.
        """
        with self.lock:
            if revision < self.through:
                return False
            listed = {item.name: item for item in objects}
            if self.confirmed_at is None:
                self.history_start = revision
            differs = self.replace(
                listed,
                revision,
                confirmed_at,
                revision if changed is None else changed,
            )
        self.notify(differs)
        return differs

    def apply_changes(
        self,
        revision: int,
        changes: KindChanges,
        confirmed_at: float,
        changed: int,
    ) -> bool:
        """Apply the changes between this mirror's revision and a later one.

        Changes from before the mirror's revision are ignored. The parameters
        and the result are those of `apply_listing`.
        """
        with self.lock:
            if revision < self.through or self.confirmed_at is None:
                return False
            objects = dict(self.objects)
            for name in changes.removed:
                objects.pop(name, None)
            for stored in changes.objects:
                objects[stored.name] = stored
            differs = self.replace(objects, revision, confirmed_at, changed)
        self.notify(differs)
        return differs

    def replace(
        self,
        objects: dict[str, stored_object.StoredObject],
        revision: int,
        confirmed_at: float,
        changed: int,
    ) -> bool:
        """Replace the objects; return whether any differs. Needs the lock."""
        same = versions_of(objects) == versions_of(self.objects)
        self.through = revision
        if not same or self.confirmed_at is None:
            for name in self.objects.keys() - objects.keys():
                self.removed[name] = revision
            for name in objects:
                self.removed.pop(name, None)
            while len(self.removed) > MAX_REMOVED_COUNT:
                oldest = next(iter(self.removed))
                self.history_start = self.removed.pop(oldest)
            self.objects = objects
            self.changed = changed
        self.confirm(confirmed_at)
        return not same

    def notify(self, differs: bool) -> None:
        """Call the listeners if any object differs."""
        if differs:
            for listener in list(self.listeners):
                listener()

    def changes_since(self, revision: int) -> KindChanges | None:
        """Return what changed after a revision; ``None`` if unknown.

        Revision 0 stands for a mirror that has not been read.
        """
        with self.lock:
            if not revision or revision < self.history_start:
                return None
            return KindChanges(
                tuple(
                    stored
                    for stored in self.objects.values()
                    if stored.version > revision
                ),
                tuple(
                    name
                    for name, removed_at in self.removed.items()
                    if removed_at > revision
                ),
            )

    def apply_digest(self, peer: KindDigest, sent_at: float) -> bool:
        """Apply the digest of a peer's mirror.

        Parameters
        ----------
        peer : KindDigest
            Digest of the peer's mirror.
        sent_at : float
            Monotonic time in seconds before which the peer did not send it.

        Returns
        -------
        bool
            True if the peer has changes that are missing here, or this mirror
            has not been read yet.
        """
        with self.lock:
            if peer.age_s < 0 or peer.through < self.through:
                return False
            if peer.changed > self.through or self.confirmed_at is None:
                if self.announced <= self.through:
                    self.behind_since = self.clock.monotonic()
                self.announced = max(self.announced, peer.changed)
                return True
            self.through = peer.through
            self.confirm(sent_at - peer.age_s)
            return False

    def confirm(self, at: float) -> None:
        """Record that the mirror was complete at a time; needs the lock."""
        if self.confirmed_at is None:
            self.confirmed_at = at
        elif at > self.confirmed_at:
            self.confirmation_gap_s = at - self.confirmed_at
            self.confirmed_at = at

    def values(self) -> list[stored_object.StoredObject]:
        """Return all objects."""
        with self.lock:
            return list(self.objects.values())

    def get(self, name: str) -> stored_object.StoredObject | None:
        """Return one object, or ``None`` if there is none."""
        with self.lock:
            return self.objects.get(name)


def versions_of(
    objects: dict[str, stored_object.StoredObject],
) -> dict[str, int]:
    """Return the version of each object."""
    return {name: stored.version for name, stored in objects.items()}
