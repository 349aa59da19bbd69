"""Brings an object to a value, writing only if it has another."""

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
    """Write an object unless it has the value already.

    Returns
    -------
    Result
        The object with the value; `Conflict` if another writer came between
        the read and the write.
    """
    match store.get(kind, name):
        case result.Success(None):
            expected = object_store.ABSENT
        case result.Success(found):
            if found.value == value:
                return result.Success(found)
            expected = found.version
        case failure:
            return failure
    return store.put(kind, name, value, expected)
