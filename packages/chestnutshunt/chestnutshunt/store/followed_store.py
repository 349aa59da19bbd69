"""Stores several kinds under one, so that a single watch covers them."""

from typing import Any

import attrs
from returns import result

from chestnutshunt.store import listing
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt.store import watched_store

__all__ = ['FOLLOWED_KINDS', 'FollowedStore']

# Kinds that every daemon mirrors.
FOLLOWED_KINDS = ('config', 'member', 'share', 'target', 'weights')

# Kind under which the store holds the followed objects, named KIND/NAME.
COMBINED_KIND = 'followed'


class FollowedStore(object_store.ObjectStore):
    """Store in which some kinds share one list and one watch.

    A watch covers a single kind, so mirroring five kinds would take five
    pending calls. Other kinds are passed through unchanged.

    Parameters
    ----------
    store : WatchedStore
        Store that holds the objects.
    """

    def __init__(self, store: watched_store.WatchedStore) -> None:
        self.store = store

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self.store.calls

    def get(
        self, kind: str, name: str
    ) -> result.Result[
        stored_object.StoredObject | None, object_store.StoreError
    ]:
        """Read one object; ``None`` when there is none."""
        reply = self.store.get(*locate(kind, name))
        return reply.map(lambda stored: stored and unpack(stored))

    def list_kind(
        self, kind: str
    ) -> result.Result[listing.Listing, object_store.StoreError]:
        """List all objects of a kind."""
        if kind not in FOLLOWED_KINDS:
            return self.store.list_kind(kind)
        return self.list_followed().map(
            lambda followed: attrs.evolve(
                followed,
                objects=tuple(x for x in followed.objects if x.kind == kind),
            )
        )

    def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
        """Write an object if its version is `expected`, 0 for absent."""
        written = self.store.put(*locate(kind, name), value, expected)
        return written.map(unpack)

    def put_status(
        self, kind: str, name: str, status: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
        """Write the status of an object if its version is `expected`."""
        written = self.store.put_status(*locate(kind, name), status, expected)
        return written.map(unpack)

    def delete(
        self, kind: str, name: str, expected: int
    ) -> result.Result[int, object_store.StoreError]:
        """Delete an object if its version is `expected`."""
        return self.store.delete(*locate(kind, name), expected)

    def list_followed(
        self,
    ) -> result.Result[listing.Listing, object_store.StoreError]:
        """List all objects of the followed kinds."""
        return self.store.list_kind(COMBINED_KIND).map(unpack_all)

    def watch_followed(
        self, after: int, timeout_s: float
    ) -> result.Result[listing.Listing, object_store.StoreError]:
        """Wait for changes of the followed kinds; see `watch_kind`."""
        return self.store.watch_kind(COMBINED_KIND, after, timeout_s).map(
            unpack_all
        )


def locate(kind: str, name: str) -> tuple[str, str]:
    """Return the kind and name under which the store holds an object."""
    if kind in FOLLOWED_KINDS:
        return COMBINED_KIND, f'{kind}/{name}'
    return kind, name


def unpack(stored: stored_object.StoredObject) -> stored_object.StoredObject:
    """Return an object under its own kind and name."""
    if stored.kind != COMBINED_KIND:
        return stored
    kind, _, name = stored.name.partition('/')
    return attrs.evolve(stored, kind=kind, name=name)


def unpack_all(packed: listing.Listing) -> listing.Listing:
    """Return a listing with each object under its own kind and name."""
    return attrs.evolve(packed, objects=tuple(map(unpack, packed.objects)))
