"""Encodes and decodes the contents of messages between daemons."""

import json
from typing import Any

from chestnutshunt.ratelimit import permit_grant
from chestnutshunt.ratelimit import permit_want
from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object
from chestnutshunt.weights import model_demand
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = [
    'decode_changes',
    'decode_demand',
    'decode_digest',
    'decode_grant',
    'decode_objects',
    'decode_peer',
    'decode_rate',
    'decode_tallies',
    'decode_want',
    'encode_demand',
    'encode_digest',
    'encode_grant',
    'encode_limit',
    'encode_objects',
    'encode_peer',
    'encode_tallies',
    'encode_want',
]


def encode_digest(
    kind: str, digest: kind_mirror.KindDigest
) -> fleet_pb2.Digest:
    """Return the message for the digest of a mirror."""
    return fleet_pb2.Digest(
        kind=kind,
        through=digest.through,
        changed=digest.changed,
        age_s=digest.age_s,
    )


def decode_digest(message: fleet_pb2.Digest) -> kind_mirror.KindDigest:
    """Build the digest of a mirror from its message."""
    return kind_mirror.KindDigest(
        message.through, message.changed, message.age_s
    )


def encode_demand(
    model: str, demand: model_demand.ModelDemand
) -> fleet_pb2.Demand:
    """Return the message for the demand for a model."""
    return fleet_pb2.Demand(
        model=model,
        items=demand.items,
        waiting=demand.waiting,
        needed_version=demand.needed_version,
    )


def decode_demand(message: fleet_pb2.Demand) -> model_demand.ModelDemand:
    """Build the demand for a model from its message."""
    return model_demand.ModelDemand(
        message.items, message.waiting, message.needed_version
    )


def encode_objects(objects: list[stored_object.StoredObject]) -> bytes:
    """Return stored objects as JSON."""
    rows = [
        [x.kind, x.name, x.version, x.value, x.deleted, x.status]
        for x in objects
    ]
    return json.dumps(rows, separators=(',', ':')).encode()


def decode_objects(data: bytes) -> tuple[stored_object.StoredObject, ...]:
    """Build stored objects from JSON; empty data holds none."""
    rows: list[list[Any]] = json.loads(data or b'[]')
    return tuple(stored_object.StoredObject(*row) for row in rows)


def decode_changes(reply: fleet_pb2.PullReply) -> kind_mirror.KindChanges:
    """Build the changes of a kind from a partial reply."""
    return kind_mirror.KindChanges(
        decode_objects(reply.objects), tuple(reply.removed)
    )


def encode_peer(peer: peer_info.PeerInfo, now: float) -> fleet_pb2.Peer:
    """Return the message that passes a peer on.

    Parameters
    ----------
    peer : PeerInfo
        The peer as of its last heartbeat.
    now : float
        Monotonic time in seconds at which the message is made.
    """
    return fleet_pb2.Peer(
        name=peer.name,
        incarnation=peer.incarnation,
        datacentre=peer.datacentre,
        address=peer.address,
        leaving=peer.leaving,
        holder=peer.holder,
        jobs=peer.jobs,
        store_s=peer.store_read_s,
        age_s=now - peer.heard_at,
        leaf=not peer.hub,
    )


def decode_peer(message: fleet_pb2.Peer, now: float) -> peer_info.PeerInfo:
    """Build a peer that was passed on in a message received at `now`."""
    return peer_info.PeerInfo(
        name=message.name,
        incarnation=message.incarnation,
        datacentre=message.datacentre,
        address=message.address,
        leaving=message.leaving,
        holder=message.holder,
        jobs=frozenset(message.jobs),
        store_read_s=message.store_s,
        heard_at=now - message.age_s,
        hub=not message.leaf,
        relayed=True,
    )


def encode_tallies(
    totals: dict[int, dict[str, int]], source: str = ''
) -> list[fleet_pb2.Tally]:
    """Return the messages for usage counts by window and workspace.

    An empty source stands for the sender.
    """
    return [
        fleet_pb2.Tally(
            window=window, workspace=name, requests=count, source=source
        )
        for window, counts in totals.items()
        for name, count in counts.items()
    ]


def decode_tallies(
    messages: Any, sender: str
) -> dict[str, dict[int, dict[str, int]]]:
    """Build usage counts by source, window and workspace."""
    sources: dict[str, dict[int, dict[str, int]]] = {}
    for tally in messages:
        totals = sources.setdefault(tally.source or sender, {})
        counts = totals.setdefault(tally.window, {})
        counts[tally.workspace] = tally.requests
    return sources


def encode_limit(
    start_key: str, rate: float | None, age_s: float
) -> fleet_pb2.TargetLimit:
    """Return the message for a target's rate limit."""
    return fleet_pb2.TargetLimit(
        target=start_key, rate=rate or 0.0, lifted=rate is None, age_s=age_s
    )


def decode_rate(message: fleet_pb2.TargetLimit) -> float | None:
    """Return the requests a second, ``None`` if the limit was lifted."""
    return None if message.lifted else message.rate


def encode_want(want: permit_want.PermitWant) -> fleet_pb2.PermitWant:
    """Return the message for the permits wanted for a target."""
    return fleet_pb2.PermitWant(
        limit=encode_limit(want.start_key, want.rate, want.age_s),
        count=want.count,
        spent=want.spent,
    )


def decode_want(message: fleet_pb2.PermitWant) -> permit_want.PermitWant:
    """Build the want for a target's permits from its message."""
    return permit_want.PermitWant(
        message.limit.target,
        message.count,
        message.spent,
        decode_rate(message.limit),
        message.limit.age_s,
    )


def encode_grant(grant: permit_grant.PermitGrant) -> fleet_pb2.PermitGrant:
    """Return the message for permits that were issued."""
    return fleet_pb2.PermitGrant(
        limit=encode_limit(grant.start_key, grant.rate, grant.age_s),
        count=grant.count,
        retry_s=grant.retry_s,
    )


def decode_grant(message: fleet_pb2.PermitGrant) -> permit_grant.PermitGrant:
    """Build the permits that were issued from their message."""
    return permit_grant.PermitGrant(
        message.limit.target,
        message.count,
        message.retry_s,
        decode_rate(message.limit),
        message.limit.age_s,
    )
