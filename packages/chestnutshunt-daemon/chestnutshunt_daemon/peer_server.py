"""gRPC servers of the protocols between daemons."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib

import grpc

from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon import peer_service
from chestnutshunt_daemon import settings
from chestnutshunt_daemon.wire import peer_pb2_grpc

__all__ = ['peer_server', 'serving']

# One thread for each peer; the others serve claims and joined responses.
MAX_THREAD_COUNT = 192

# Time that open calls have left to finish at shutdown.
GRACE_S = 0.5

SERVER_OPTIONS = (
    *peer_clients.CHANNEL_OPTIONS,
    ('grpc.http2.min_ping_interval_without_data_ms', 1000),
    ('grpc.http2.max_ping_strikes', 0),
    ('grpc.so_reuseport', 0),
)


@contextlib.contextmanager
def peer_server(state: node.Node) -> Iterator[grpc.Server]:
    """Serve the peer protocol until the context ends."""
    service = peer_service.PeerService(state)
    with serving(
        lambda server: peer_pb2_grpc.add_PeerServicer_to_server(
            service, server
        ),
        state.config.peer_address,
        state.config.name,
        MAX_THREAD_COUNT,
        GRACE_S,
    ) as server:
        yield server


@contextlib.contextmanager
def serving(
    register: Callable[[grpc.Server], None],
    address: str,
    location: str,
    threads: int,
    grace_s: float,
) -> Iterator[grpc.Server]:
    """Serve a protocol between daemons until the context ends.

    Parameters
    ----------
    register : callable
        Adds the servicer of the protocol to the server.
    address : str
        ``IP:PORT`` to listen on.
    location : str
        Where the address is configured, for the error.
    threads : int
        Number of worker threads, and so of concurrent calls.
    grace_s : float
        Seconds that open calls have left to finish at shutdown.
    """
    pool = futures.ThreadPoolExecutor(threads, 'peer-server')
    server = grpc.server(pool, options=SERVER_OPTIONS)
    register(server)
    try:
        server.add_insecure_port(address)
    except RuntimeError as exc:
        raise settings.address_unavailable(
            location, 'peer_address', address
        ) from exc
    server.start()
    try:
        yield server
    finally:
        server.stop(grace=grace_s).wait()
        pool.shutdown(wait=False)
