"""Keeps several kinds as one, so that a single watch follows them all."""

from typing import Any

import attrs
from returns import result

from chestnutshunt.store import listing
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt.store import watched_store

__all__ = ['FOLLOWED_KINDS', 'FollowedStore']

FOLLOWED_KINDS = ('config', 'member', 'share', 'target', 'weights')
"""Kinds of which every daemon keeps a copy."""

GROUP = 'followed'
"""Kind under which the store holds them, named ``KIND/NAME``."""


class FollowedStore(object_store.ObjectStore):
    """Store in which some kinds share one list and one watch.

    The store watches one kind a call, and a mirror of five kinds would need
    five calls that wait. Other kinds are passed on as they are.

    Parameters
    ----------
    store : WatchedStore
        Where the objects are kept.
    """

    def __init__(self, store: watched_store.WatchedStore) -> None:
        self.store = store

    @property
    def calls(self) -> int:
        """Calls made so far."""
        return self.store.calls

    def get(
        self, kind: str, name: str
    ) -> result.Result[
        stored_object.StoredObject | None, object_store.StoreError
    ]:
        """Read one object; ``None`` when there is none."""
        found = self.store.get(*locate(kind, name))
        return found.map(lambda held: held and unpack(held))

    def list_kind(
        self, kind: str
    ) -> result.Result[listing.Listing, object_store.StoreError]:
        """List all objects of a kind."""
        if kind not in FOLLOWED_KINDS:
            return self.store.list_kind(kind)
        return self.list_followed().map(
            lambda found: attrs.evolve(
                found,
                objects=tuple(x for x in found.objects if x.kind == kind),
            )
        )

    def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
        """Write an object if its version is `expected`, 0 for absent."""
        made = self.store.put(*locate(kind, name), value, expected)
        return made.map(unpack)

    def put_status(
        self, kind: str, name: str, status: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
        """Write what the system says about an operator's object."""
        made = self.store.put_status(*locate(kind, name), status, expected)
        return made.map(unpack)

    def delete(
        self, kind: str, name: str, expected: int
    ) -> result.Result[int, object_store.StoreError]:
        """Delete an object if its version is `expected`."""
        return self.store.delete(*locate(kind, name), expected)

    def list_followed(
        self,
    ) -> result.Result[listing.Listing, object_store.StoreError]:
        """List all objects of the followed kinds."""
        return self.store.list_kind(GROUP).map(unpack_all)

    def watch_followed(
        self, after: int, timeout_s: float
    ) -> result.Result[listing.Listing, object_store.StoreError]:
        """Wait for changes of the followed kinds; see `watch_kind`."""
        return self.store.watch_kind(GROUP, after, timeout_s).map(unpack_all)


def locate(kind: str, name: str) -> tuple[str, str]:
    """Return the kind and name under which the store holds an object."""
    if kind in FOLLOWED_KINDS:
        return GROUP, f'{kind}/{name}'
    return kind, name


def unpack(held: stored_object.StoredObject) -> stored_object.StoredObject:
    """Return an object under its own kind and name."""
    if held.kind != GROUP:
        return held
    kind, _, name = held.name.partition('/')
    return attrs.evolve(held, kind=kind, name=name)


def unpack_all(found: listing.Listing) -> listing.Listing:
    """Return a listing with each object under its own kind and name."""
    return attrs.evolve(found, objects=tuple(map(unpack, found.objects)))
