"""Conditional write that reads the object back if the reply is lost."""

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
    """Write an object; if there is no reply, read back what is stored.

    The value must be unique to this write, for example by a nonce, since an
    equal value read back counts as this write.

    Returns
    -------
    Result
        As for `ObjectStore.put`; `PlatformUncertain` if the read fails, or
        finds the previous version, since a delayed write may still take
        effect.
    """
    written = store.put(kind, name, value, expected)
    match written:
        case result.Failure(errors.PlatformUncertain()):
            pass
        case _:
            return written
    match store.get(kind, name):
        case result.Success(stored) if stored and stored.value == value:
            return result.Success(stored)
        case result.Success(stored) if stored and stored.version != expected:
            exc = errors.Conflict(f'{kind}/{name} has another version.')
            return result.Failure(exc)
        case _:
            return written
