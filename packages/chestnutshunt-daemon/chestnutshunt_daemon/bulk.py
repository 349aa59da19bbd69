"""Keeps the bytes of steps on two daemons."""

from collections.abc import Iterator
import logging

import grpc

from chestnutshunt.rollout import batch
from chestnutshunt.rollout import manifest
from chestnutshunt.routing import rendezvous
from chestnutshunt_daemon import node
from chestnutshunt_daemon.wire import peer_pb2

__all__ = ['fetch', 'store_with_replica', 'split_chunks']

LOG = logging.getLogger(__name__)

PIECE_BYTES = 1_048_576
COPY_TIMEOUT = 5.0
"""Seconds for a copy to a peer."""


def split_chunks(data: bytes) -> Iterator[bytes]:
    """Yield the data in pieces that fit a message."""
    for start in range(0, max(len(data), 1), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]


def store_with_replica(state: node.Node, data: bytes) -> tuple[str, ...]:
    """Keep bytes here and at a peer; return the addresses that have them."""
    digest = batch.digest_of(data)
    state.batch_store.put(digest, data)
    holders = [state.own.address]
    live = {
        item.name: item
        for item in state.directory.live()
        if item.name != state.own.name
    }
    near = {
        name: item
        for name, item in live.items()
        if item.datacentre == state.own.datacentre
    }
    order = rendezvous.rank(digest, near)
    order += rendezvous.rank(digest, live.keys() - near.keys())
    for name in order:
        if store_at(state, live[name].address, digest, data):
            holders.append(live[name].address)
            break
    return tuple(holders)


def store_at(state: node.Node, address: str, digest: str, data: bytes) -> bool:
    """Copy bytes to a peer; return True if it keeps them."""
    messages = (
        peer_pb2.StoreRequest(digest=digest, data=piece)
        for piece in split_chunks(data)
    )
    try:
        reply = state.peer_clients.stub(address).Store(
            messages, timeout=COPY_TIMEOUT
        )
    except grpc.RpcError as exc:
        LOG.warning('Copy to %s failed: %s', address, exc.code())
        return False
    return reply.stored


def fetch(state: node.Node, agreed: manifest.Manifest) -> bytes | None:
    """Return the bytes of a step from any daemon that keeps them."""
    data = state.batch_store.get(agreed.digest)
    if data is not None:
        return data
    for address in agreed.holders:
        asked = peer_pb2.FetchRequest(digest=agreed.digest)
        try:
            call = state.peer_clients.stub(address).Fetch(
                asked, timeout=COPY_TIMEOUT
            )
            data = b''.join(part.data for part in call)
        except grpc.RpcError as exc:
            LOG.warning('Fetch from %s failed: %s', address, exc.code())
            continue
        if batch.digest_of(data) == agreed.digest:
            state.batch_store.put(agreed.digest, data)
            return data
    return None
