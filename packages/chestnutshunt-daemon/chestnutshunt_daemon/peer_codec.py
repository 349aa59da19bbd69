"""Conversion between library types and messages of the peer protocol."""

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

BATCH_OBJECT_COUNT = 500


def encode_entry(item: entry.Entry) -> peer_pb2.ClaimRequest:
    """Encode a ledger entry."""
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
    """Decode a ledger entry."""
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
    """Encode the outcome of a claim."""
    holder = encode_entry(outcome.holder)
    return peer_pb2.ClaimReply(granted=outcome.granted, held=holder)


def decode_claim(message: peer_pb2.ClaimReply) -> claim.Claim:
    """Decode the outcome of a claim."""
    return claim.Claim(message.granted, decode_entry(message.held))


def decode_member(frame: peer_pb2.Frame) -> member.Member:
    """Decode the sender of a heartbeat."""
    return member.Member(
        name=frame.name,
        incarnation=frame.incarnation,
        datacentre=frame.datacentre,
        address=frame.address,
        admin_address=frame.admin_address,
    )


def encode_changes(changes: mirror.Changes) -> list[peer_pb2.ObjectBatch]:
    """Encode changes of the mirror in batches of bounded size.

    There is at least one batch, since it carries the revision.
    """
    batches = []
    objects = changes.objects
    for start in range(0, max(len(objects), 1), BATCH_OBJECT_COUNT):
        batch = peer_pb2.ObjectBatch(
            through=changes.through, whole=changes.whole
        )
        for stored in objects[start : start + BATCH_OBJECT_COUNT]:
            batch.objects.append(encode_object(stored))
        batches.append(batch)
    return batches


def encode_object(
    stored: stored_object.StoredObject,
) -> peer_pb2.StoredObject:
    """Encode a platform object."""
    return peer_pb2.StoredObject(
        kind=stored.kind,
        name=stored.name,
        version=stored.version,
        value=json.dumps(stored.value).encode(),
        deleted=stored.deleted,
    )


def decode_object(
    message: peer_pb2.StoredObject,
) -> stored_object.StoredObject:
    """Decode a platform object; raises `ValueError` for a malformed value."""
    value = json.loads(message.value or b'{}')
    if not isinstance(value, dict):
        raise ValueError('The value is not a JSON object.')
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
    """Encode usage tallies."""
    batch = peer_pb2.TallyBatch()
    for key, usage in tallies.items():
        batch.tallies.add(
            window=key.window,
            owner=key.owner,
            workspace=key.workspace,
            requests=usage.requests,
            tokens=usage.tokens,
        )
    return batch


def decode_tallies(
    batch: peer_pb2.TallyBatch,
) -> dict[tally_key.TallyKey, count.Count]:
    """Decode usage tallies."""
    return {
        tally_key.TallyKey(
            item.window, item.owner, item.workspace
        ): count.Count(item.requests, item.tokens)
        for item in batch.tallies
    }
