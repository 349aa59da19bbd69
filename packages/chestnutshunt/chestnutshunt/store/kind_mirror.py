"""Copy of all objects of one kind that only moves forward."""

from collections.abc import Callable
import threading

import attrs

from chestnutshunt import clock
from chestnutshunt.store import stored_object

__all__ = ['KindDigest', 'KindMirror']


@attrs.frozen
class KindDigest:
    """How far a mirror is, small enough for every heartbeat.

    Attributes
    ----------
    through : int
        Every change up to this revision of the store is held.
    changed : int
        No change is known of after this revision.
    age_s : float
        Seconds since a consistent read showed the mirror to be complete;
        negative if none ever did.
    """

    through: int
    changed: int
    age_s: float


class KindMirror:
    """Objects of one kind, from reads of this daemon and its peers.

    A read counts as confirmed from when it was begun. What a peer confirmed
    counts with the age it had there and the time its message took.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    clock : Clock
        Clock that goes on while the VM is suspended.

    Attributes
    ----------
    confirmed_at : float or None
        Monotonic time in seconds at which the mirror was complete.
    confirmation_gap_s : float
        Seconds between the last two such times.
    """

    def __init__(self, kind: str, clock: clock.Clock) -> None:
        self.kind = kind
        self.clock = clock
        self.objects: dict[str, stored_object.StoredObject] = {}
        self.through = 0
        self.changed = 0
        self.confirmed_at: float | None = None
        self.confirmation_gap_s = 0.0
        self.lock = threading.RLock()
        self.listeners: list[Callable[[], None]] = []

    @property
    def age_s(self) -> float:
        """Seconds since the mirror was last confirmed; infinite if never."""
        if self.confirmed_at is None:
            return float('inf')
        return self.clock.monotonic() - self.confirmed_at

    def digest(self) -> KindDigest:
        """Return how far the mirror is."""
        with self.lock:
            known = self.confirmed_at is not None
            return KindDigest(
                self.through, self.changed, self.age_s if known else -1.0
            )

    def apply_listing(
        self,
        revision: int,
        objects: tuple[stored_object.StoredObject, ...],
        confirmed_at: float,
        changed: int | None = None,
    ) -> bool:
        """Take over a list of all objects at a revision.

        Parameters
        ----------
        revision : int
            Revision at which the list was made.
        objects : tuple of StoredObject
            All objects of the kind.
        confirmed_at : float
            Monotonic time in seconds before which the list was not asked for.
        changed : int, optional
            Revision of the newest change where a peer knows it.

        Returns
        -------
        bool
            True if something changed.
        """
        with self.lock:
            if revision < self.through:
                return False
            found = {item.name: item for item in objects}
            same = versions_of(found) == versions_of(self.objects)
            self.through = revision
            if not same or self.confirmed_at is None:
                self.objects = found
                self.changed = revision if changed is None else changed
            self.confirm(confirmed_at)
        if not same:
            for listener in list(self.listeners):
                listener()
        return not same

    def apply_digest(self, peer: KindDigest, sent_at: float) -> bool:
        """Take over what a peer has confirmed.

        Parameters
        ----------
        peer : KindDigest
            How far the peer is.
        sent_at : float
            Monotonic time in seconds before which the peer did not say so.

        Returns
        -------
        bool
            True if the peer has changes that this mirror misses.
        """
        with self.lock:
            if peer.age_s < 0 or peer.through < self.through:
                return False
            if peer.changed > self.through or self.confirmed_at is None:
                return True
            self.through = peer.through
            self.confirm(sent_at - peer.age_s)
            return False

    def confirm(self, at: float) -> None:
        """Note that the mirror was complete at a time."""
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
        """Return one object."""
        with self.lock:
            return self.objects.get(name)


def versions_of(
    objects: dict[str, stored_object.StoredObject],
) -> dict[str, int]:
    """Return the version of each object."""
    return {name: held.version for name, held in objects.items()}
