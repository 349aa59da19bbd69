"""Thread that exchanges heartbeats with one peer."""

import logging

import grpc

from chestnutshunt_daemon import link_thread
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_service

__all__ = ['PeerLink']

LOG = logging.getLogger(__name__)

# A connection whose reply takes longer is closed and opened again.
REPLY_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.3


class PeerLink(link_thread.LinkThread):
    """Exchanges heartbeats with one peer until it is closed.

    Each exchange is one call with a deadline. A long-lived stream is not
    used, since each thread of grpc that waits on an open stream wakes up
    several times a second; see docs/design/peers.md.

    Parameters
    ----------
    state : Node
        Shared state of the daemon.
    address : str
        ``IP:PORT`` of the peer.
    """

    def __init__(self, state: node.Node, address: str) -> None:
        super().__init__(address)
        self.state = state

    def run(self) -> None:
        """Exchange heartbeats; drop the connection when a call fails."""
        while not self.closed.is_set():
            delay_s = self.state.heartbeat_period_s()
            try:
                self.exchange()
            except grpc.RpcError as exc:
                LOG.debug(
                    'Heartbeat to peer %s failed: %s', self.address, exc.code()
                )
                self.state.peer_clients.drop(self.address)
                delay_s = RETRY_DELAY_S
            self.wakeup.wait(delay_s)
            self.wakeup.clear()

    def exchange(self) -> None:
        """Send a heartbeat and apply the reply."""
        frame = peer_service.make_heartbeat(self.state)
        stub = self.state.peer_clients.stub(self.address)
        reply = stub.Beat(frame, timeout=REPLY_TIMEOUT_S)
        self.state.metrics.heartbeats.labels('sent').inc()
        peer_service.apply_heartbeat(self.state, reply)
