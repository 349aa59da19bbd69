"""Stores the encoded steps of runs on two daemons."""

from collections.abc import Iterator
import logging

import grpc

from chestnutshunt.rollout import batch
from chestnutshunt.rollout import manifest
from chestnutshunt.routing import rendezvous
from chestnutshunt_daemon import node
from chestnutshunt_daemon.wire import peer_pb2

__all__ = ['fetch', 'split_chunks', 'store_with_replica']

LOG = logging.getLogger(__name__)

CHUNK_BYTES = 1_048_576
COPY_TIMEOUT_S = 5.0


def split_chunks(data: bytes) -> Iterator[bytes]:
    """Yield the data in chunks that fit a gRPC message; one if empty."""
    for start in range(0, max(len(data), 1), CHUNK_BYTES):
        yield data[start : start + CHUNK_BYTES]


def store_with_replica(state: node.Node, data: bytes) -> tuple[str, ...]:
    """Store bytes here and at one peer, by preference in this data centre.

    Returns
    -------
    tuple of str
        Addresses of the daemons that hold them; only this daemon's own if
        no peer took the copy.
    """
    digest = batch.digest_of(data)
    state.batch_store.put(digest, data)
    holders = [state.own.address]
    live = {
        item.name: item
        for item in state.directory.live_members()
        if item.name != state.own.name
    }
    local = {
        name: item
        for name, item in live.items()
        if item.datacentre == state.own.datacentre
    }
    order = rendezvous.rank(digest, local)
    order += rendezvous.rank(digest, live.keys() - local.keys())
    for name in order:
        if store_at(state, live[name].address, digest, data):
            holders.append(live[name].address)
            break
    return tuple(holders)


def store_at(state: node.Node, address: str, digest: str, data: bytes) -> bool:
    """Copy bytes to a peer; return True if the peer has stored them."""
    messages = (
        peer_pb2.StoreRequest(digest=digest, data=chunk)
        for chunk in split_chunks(data)
    )
    try:
        reply = state.peer_clients.stub(address).Store(
            messages, timeout=COPY_TIMEOUT_S
        )
    except grpc.RpcError as exc:
        LOG.warning('Copying a step to %s failed: %s', address, exc.code())
        return False
    return reply.stored


def fetch(state: node.Node, entry: manifest.Manifest) -> bytes | None:
    """Return the bytes of a step from any daemon that holds them.

    Bytes whose digest is not that of the manifest are ignored; ``None`` if
    no holder has the right ones.
    """
    data = state.batch_store.get(entry.digest)
    if data is not None:
        return data
    for address in entry.holders:
        request = peer_pb2.FetchRequest(digest=entry.digest)
        try:
            call = state.peer_clients.stub(address).Fetch(
                request, timeout=COPY_TIMEOUT_S
            )
            data = b''.join(part.data for part in call)
        except grpc.RpcError as exc:
            LOG.warning(
                'Fetching a step from %s failed: %s', address, exc.code()
            )
            continue
        if batch.digest_of(data) == entry.digest:
            state.batch_store.put(entry.digest, data)
            return data
    return None
