"""Finds out what became of a write whose reply was lost."""

from typing import Any

from returns import result

from chestnutshunt import errors
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object

__all__ = ['put_with_readback']


def put_with_readback(
    store: object_store.ObjectStore,
    kind: str,
    name: str,
    value: dict[str, Any],
    expected: int,
) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
    """Write an object and find out what became of a lost reply.

    The value must be unique to this write (hold a nonce, for example), since
    an equal value read back counts as this write.

    Returns
    -------
    Result
        As `ObjectStore.put`; `PlatformUncertain` if reading back fails, or
        shows the version before, since a delayed write may still take effect.
    """
    written = store.put(kind, name, value, expected)
    match written:
        case result.Failure(errors.PlatformUncertain()):
            pass
        case _:
            return written
    match store.get(kind, name):
        case result.Success(found) if found and found.value == value:
            return result.Success(found)
        case result.Success(found) if found and found.version != expected:
            clash = errors.Conflict(f'{kind}/{name} has another version.')
            return result.Failure(clash)
        case _:
            return written
