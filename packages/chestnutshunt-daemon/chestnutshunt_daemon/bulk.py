"""Keeps the bytes of steps on two daemons."""

from collections.abc import Iterator
import logging

import grpc

from chestnutshunt.rollout import batch
from chestnutshunt.rollout import manifest
from chestnutshunt.routing import rendezvous
from chestnutshunt_daemon import node
from chestnutshunt_daemon.wire import peer_pb2

__all__ = ['fetch', 'keep_twice', 'pieces']

LOG = logging.getLogger(__name__)

PIECE_BYTES = 1_048_576
COPY_TIMEOUT = 5.0
"""Seconds for a copy to a peer."""


def pieces(data: bytes) -> Iterator[bytes]:
    """Yield the data in pieces that fit a message."""
    for start in range(0, max(len(data), 1), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]


def keep_twice(held: node.Node, data: bytes) -> tuple[str, ...]:
    """Keep bytes here and at a peer; return the addresses that have them."""
    digest = batch.digest_of(data)
    held.bulk.put(digest, data)
    holders = [held.own.address]
    live = {
        item.name: item
        for item in held.directory.live_members()
        if item.name != held.own.name
    }
    near = {
        name: item
        for name, item in live.items()
        if item.datacentre == held.own.datacentre
    }
    order = rendezvous.rank(digest, near)
    order += rendezvous.rank(digest, live.keys() - near.keys())
    for name in order:
        if store_at(held, live[name].address, digest, data):
            holders.append(live[name].address)
            break
    return tuple(holders)


def store_at(held: node.Node, address: str, digest: str, data: bytes) -> bool:
    """Copy bytes to a peer; return True if it keeps them."""
    messages = (
        peer_pb2.StoreRequest(digest=digest, data=piece)
        for piece in pieces(data)
    )
    try:
        reply = held.peers.stub(address).Store(messages, timeout=COPY_TIMEOUT)
    except grpc.RpcError as exc:
        LOG.warning('Copy to %s failed: %s', address, exc.code())
        return False
    return reply.stored


def fetch(held: node.Node, agreed: manifest.Manifest) -> bytes | None:
    """Return the bytes of a step from any daemon that keeps them."""
    data = held.bulk.get(agreed.digest)
    if data is not None:
        return data
    for address in agreed.holders:
        asked = peer_pb2.FetchRequest(digest=agreed.digest)
        try:
            call = held.peers.stub(address).Fetch(asked, timeout=COPY_TIMEOUT)
            data = b''.join(part.data for part in call)
        except grpc.RpcError as exc:
            LOG.warning('Fetch from %s failed: %s', address, exc.code())
            continue
        if batch.digest_of(data) == agreed.digest:
            held.bulk.put(agreed.digest, data)
            return data
    return None
