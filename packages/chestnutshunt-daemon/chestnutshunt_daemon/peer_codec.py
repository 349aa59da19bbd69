"""Conversion between the library's types and the peers' messages."""

import json

from chestnutshunt.ledger import claim
from chestnutshunt.ledger import entry
from chestnutshunt.membership import member
from chestnutshunt.mirror import mirror
from chestnutshunt.store import stored_object
from chestnutshunt.usage import count
from chestnutshunt.usage import tally_key
from chestnutshunt_daemon.wire import peer_pb2

__all__ = [
    'decode_claim',
    'decode_entry',
    'decode_member',
    'decode_object',
    'decode_tallies',
    'encode_changes',
    'encode_claim',
    'encode_entry',
    'encode_tallies',
]

BATCH_OBJECTS = 500


def encode_entry(item: entry.Entry) -> peer_pb2.ClaimRequest:
    """Return the message of a ledger entry."""
    return peer_pb2.ClaimRequest(
        identity=item.identity,
        nonce=item.nonce,
        owner=item.owner,
        address=item.address,
        body=item.body,
        expires_at=item.expires_at,
        released=item.released,
    )


def decode_entry(message: peer_pb2.ClaimRequest) -> entry.Entry:
    """Build a ledger entry from its message."""
    return entry.Entry(
        identity=message.identity,
        nonce=message.nonce,
        owner=message.owner,
        address=message.address,
        body=message.body,
        expires_at=message.expires_at,
        released=message.released,
    )


def encode_claim(outcome: claim.Claim) -> peer_pb2.ClaimReply:
    """Return the message of a claim's outcome."""
    held = encode_entry(outcome.holder)
    return peer_pb2.ClaimReply(granted=outcome.granted, held=held)


def decode_claim(message: peer_pb2.ClaimReply) -> claim.Claim:
    """Build a claim's outcome from its message."""
    return claim.Claim(message.granted, decode_entry(message.held))


def decode_member(frame: peer_pb2.Frame) -> member.Member:
    """Build a member from a heartbeat."""
    return member.Member(
        name=frame.name,
        incarnation=frame.incarnation,
        datacentre=frame.datacentre,
        address=frame.address,
        admin_address=frame.admin_address,
    )


def encode_changes(changes: mirror.Changes) -> list[peer_pb2.ObjectBatch]:
    """Return the messages of some changes."""
    batches = []
    objects = changes.objects
    for start in range(0, max(len(objects), 1), BATCH_OBJECTS):
        batch = peer_pb2.ObjectBatch(
            through=changes.through, whole=changes.whole
        )
        for held in objects[start : start + BATCH_OBJECTS]:
            batch.objects.append(encode_object(held))
        batches.append(batch)
    return batches


def encode_object(
    held: stored_object.StoredObject,
) -> peer_pb2.StoredObject:
    """Return the message of a platform object."""
    return peer_pb2.StoredObject(
        kind=held.kind,
        name=held.name,
        version=held.version,
        value=json.dumps(held.value).encode(),
        deleted=held.deleted,
    )


def decode_object(
    message: peer_pb2.StoredObject,
) -> stored_object.StoredObject:
    """Build a platform object from its message; raises `ValueError`."""
    value = json.loads(message.value or b'{}')
    if not isinstance(value, dict):
        raise ValueError('The value is not an object.')
    return stored_object.StoredObject(
        kind=message.kind,
        name=message.name,
        version=message.version,
        value=value,
        deleted=message.deleted,
    )


def encode_tallies(
    tallies: dict[tally_key.TallyKey, count.Count],
) -> peer_pb2.TallyBatch:
    """Return the message of some tallies."""
    batch = peer_pb2.TallyBatch()
    for key, held in tallies.items():
        batch.tallies.add(
            window=key.window,
            owner=key.owner,
            workspace=key.workspace,
            requests=held.requests,
            tokens=held.tokens,
        )
    return batch


def decode_tallies(
    batch: peer_pb2.TallyBatch,
) -> dict[tally_key.TallyKey, count.Count]:
    """Build tallies from their message."""
    return {
        tally_key.TallyKey(
            item.window, item.owner, item.workspace
        ): count.Count(item.requests, item.tokens)
        for item in batch.tallies
    }
