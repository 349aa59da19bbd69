"""Encodes store calls and their results for relaying between daemons."""

import json
from typing import Any

from returns import result

from chestnutshunt import errors
from chestnutshunt.store import listing
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt_daemon.peers import fleet_codec
from chestnutshunt_daemon.peers import store_call
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['call_store', 'decode_reply', 'encode_call', 'execute_call']

ERRORS_BY_KIND = {
    error.kind: error
    for error in (
        errors.PlatformUnavailable,
        errors.PlatformUncertain,
        errors.Conflict,
    )
}


def call_store(
    store: object_store.ObjectStore, call: store_call.StoreCall
) -> result.Result[Any, errors.ChestnutshuntError]:
    """Call the method of a store that a call names."""
    match call.operation:
        case 'get':
            return store.get(call.kind, call.name)
        case 'list_kind':
            return store.list_kind(call.kind)
        case 'put':
            return store.put(call.kind, call.name, call.value, call.expected)
        case 'put_status':
            return store.put_status(
                call.kind, call.name, call.value, call.expected
            )
        case 'delete':
            return store.delete(call.kind, call.name, call.expected)
    unknown = errors.PlatformUnavailable(
        f'Unknown store operation {call.operation!r}.'
    )
    return result.Failure(unknown)


def encode_call(call: store_call.StoreCall) -> fleet_pb2.StoreCall:
    """Return the message that relays a call."""
    return fleet_pb2.StoreCall(
        operation=call.operation,
        kind=call.kind,
        name=call.name,
        value=json.dumps(call.value).encode(),
        expected=call.expected,
    )


def execute_call(
    store: object_store.ObjectStore, message: fleet_pb2.StoreCall
) -> fleet_pb2.StoreReply:
    """Execute a relayed call and return the reply."""
    call = store_call.StoreCall(
        message.operation,
        message.kind,
        message.name,
        json.loads(message.value),
        message.expected,
    )
    return encode_reply(call_store(store, call))


def encode_reply(
    outcome: result.Result[Any, errors.ChestnutshuntError],
) -> fleet_pb2.StoreReply:
    """Return the reply for the result of a call."""
    match outcome:
        case result.Failure(exc):
            return fleet_pb2.StoreReply(error=exc.kind, message=exc.message)
        case result.Success(listing.Listing() as found):
            return fleet_pb2.StoreReply(
                revision=found.revision,
                objects=fleet_codec.encode_objects(list(found.objects)),
            )
        case result.Success(stored_object.StoredObject() as stored):
            return fleet_pb2.StoreReply(
                revision=stored.version,
                objects=fleet_codec.encode_objects([stored]),
            )
        case result.Success(value):
            return fleet_pb2.StoreReply(revision=value or 0)


def decode_reply(
    operation: str, reply: fleet_pb2.StoreReply
) -> result.Result[Any, errors.ChestnutshuntError]:
    """Build the result of a call from its reply.

    An error of an unknown kind counts as `PlatformUncertain`.
    """
    if reply.error:
        error = ERRORS_BY_KIND.get(reply.error, errors.PlatformUncertain)
        return result.Failure(error(reply.message))
    objects = fleet_codec.decode_objects(reply.objects)
    if operation == 'list_kind':
        return result.Success(listing.Listing(reply.revision, objects))
    if operation == 'delete':
        return result.Success(reply.revision)
    return result.Success(objects[0] if objects else None)
