"""One thread for each peer that this daemon calls."""

from collections.abc import Iterator
import logging
import queue
import threading

import grpc

from chestnutshunt_daemon import call_limit
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_service
from chestnutshunt_daemon.wire import peer_pb2

__all__ = ['PeerLink']

LOG = logging.getLogger(__name__)

STREAM_LIFETIME = 60.0
"""Seconds until a stream is made again, which also ends a silent one."""

REPLY_LIMIT = 1.5
"""Seconds a reply may take before the connection counts as silent."""

RETRY_DELAY = 0.3


class PeerLink:
    """Exchanges heartbeats with one peer until it is closed.

    Parameters
    ----------
    held : Node
        This daemon.
    address : str
        ``IP:PORT`` of the peer.
    """

    def __init__(self, held: node.Node, address: str) -> None:
        self.held = held
        self.address = address
        self.closed = threading.Event()
        self.wake = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f'peer-{address}', daemon=True
        )

    def start(self) -> None:
        """Start the thread of this link."""
        self.thread.start()

    def close(self) -> None:
        """Let the thread end."""
        self.closed.set()
        self.wake.set()

    def run(self) -> None:
        """Make a stream, use it until it fails, and begin again."""
        while not self.closed.is_set():
            try:
                self.exchange()
            except grpc.RpcError as exc:
                LOG.debug('Peer %s: %s', self.address, exc.code())
                self.held.peers.drop(self.address)
            self.closed.wait(RETRY_DELAY)

    def exchange(self) -> None:
        """Send heartbeats over one stream and take the replies."""
        outgoing: queue.SimpleQueue = queue.SimpleQueue()
        stub = self.held.peers.stub(self.address)
        replies = stub.Exchange(frames(outgoing), timeout=STREAM_LIFETIME)
        limit = self.held.config.heartbeat_s + REPLY_LIMIT
        limited = call_limit.with_limit(replies, limit)
        try:
            while not self.closed.is_set():
                outgoing.put(peer_service.make_frame(self.held))
                self.held.metrics.heartbeats.labels('sent').inc()
                reply = next(limited, None)
                if reply is None:
                    return
                peer_service.take_frame(self.held, reply)
                self.wake.wait(self.held.config.heartbeat_s)
                self.wake.clear()
            outgoing.put(peer_service.make_frame(self.held))
        finally:
            outgoing.put(None)
            replies.cancel()
            limited.close()


def frames(outgoing: queue.SimpleQueue) -> Iterator[peer_pb2.Frame]:
    """Yield queued heartbeats until ``None`` comes."""
    while (frame := outgoing.get()) is not None:
        yield frame
