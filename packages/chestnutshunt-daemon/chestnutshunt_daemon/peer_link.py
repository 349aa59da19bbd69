"""One thread for each peer that this daemon calls."""

import logging

import grpc

from chestnutshunt_daemon import link_thread
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_service

__all__ = ['PeerLink']

LOG = logging.getLogger(__name__)

REPLY_LIMIT = 1.5
"""Seconds a reply may take before the connection counts as silent."""

RETRY_DELAY = 0.3


class PeerLink(link_thread.LinkThread):
    """Exchanges heartbeats with one peer until it is closed.

    Each is one call with a deadline. A stream would be held open instead, but
    the library's threads that wait on open streams wake up several times a
    second each; see docs/design/peers.md.

    Parameters
    ----------
    state : Node
        This daemon.
    address : str
        ``IP:PORT`` of the peer.
    """

    def __init__(self, state: node.Node, address: str) -> None:
        super().__init__(address)
        self.state = state

    def run(self) -> None:
        """Exchange heartbeats; a silent connection is replaced."""
        while not self.closed.is_set():
            pause = self.state.heartbeat_period()
            try:
                self.exchange()
            except grpc.RpcError as exc:
                LOG.debug('Peer %s: %s', self.address, exc.code())
                self.state.peers.drop(self.address)
                pause = RETRY_DELAY
            self.wakeup.wait(pause)
            self.wakeup.clear()

    def exchange(self) -> None:
        """Send a heartbeat and take the reply."""
        frame = peer_service.make_heartbeat(self.state)
        stub = self.state.peers.stub(self.address)
        reply = stub.Beat(frame, timeout=REPLY_LIMIT)
        self.state.metrics.heartbeats.labels('sent').inc()
        peer_service.apply_heartbeat(self.state, reply)
