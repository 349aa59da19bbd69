"""Writes an object only if its value differs."""

from typing import Any

from returns import result

from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object

__all__ = ['put_if_changed']


def put_if_changed(
    store: object_store.ObjectStore,
    kind: str,
    name: str,
    value: dict[str, Any],
) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
    """Write an object unless it already has the value.

    Returns
    -------
    Result
        The object with the value; `Conflict` if another writer changed it
        between the read and the write.
    """
    match store.get(kind, name):
        case result.Success(None):
            expected = object_store.ABSENT
        case result.Success(stored):
            if stored.value == value:
                return result.Success(stored)
            expected = stored.version
        case failure:
            return failure
    return store.put(kind, name, value, expected)
