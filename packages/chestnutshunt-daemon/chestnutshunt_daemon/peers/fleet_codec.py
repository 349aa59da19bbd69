"""Encodes and decodes the contents of messages between daemons."""

import json
from typing import Any

from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = [
    'decode_digest',
    'decode_objects',
    'decode_tallies',
    'encode_digest',
    'encode_objects',
    'encode_tallies',
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


def encode_tallies(
    totals: dict[int, dict[str, int]],
) -> list[fleet_pb2.Tally]:
    """Return the messages for usage counts by window and workspace."""
    return [
        fleet_pb2.Tally(window=window, workspace=name, requests=count)
        for window, counts in totals.items()
        for name, count in counts.items()
    ]


def decode_tallies(messages: Any) -> dict[int, dict[str, int]]:
    """Build usage counts by window and workspace from their messages."""
    totals: dict[int, dict[str, int]] = {}
    for tally in messages:
        counts = totals.setdefault(tally.window, {})
        counts[tally.workspace] = tally.requests
    return totals
