"""Thread that exchanges heartbeats with one hub."""

import logging

import grpc

from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import link_thread
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import heartbeat_exchange

__all__ = ['FleetLink']

LOG = logging.getLogger(__name__)

# Delay before a peer that did not reply is called again.
RETRY_S = 0.5

# A peer counts as unreachable after this many calls in a row without a reply.
UNREACHABLE_COUNT = 2


class FleetLink(link_thread.LinkThread):
    """Exchanges heartbeats between two hubs until it is closed.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    clients : PeerClients
        Channels to peers.
    name, address : str
        Name and ``IP:PORT`` of the peer.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        clients: peer_clients.PeerClients,
        name: str,
        address: str,
    ) -> None:
        super().__init__(address)
        self.state = state
        self.clients = clients
        self.name = name
        self.exchange = heartbeat_exchange.HeartbeatExchange(
            state, clients, address
        )
        self.reachable = False
        self.failed_count = 0

    def run(self) -> None:
        """Exchange heartbeats; a failed channel is replaced."""
        while not self.closed.is_set() and not self.state.stopped.is_set():
            pause_s = self.state.heartbeat_s()
            self.wakeup.clear()
            try:
                self.exchange.run()
                self.note_reachable(True)
            except grpc.RpcError as exc:
                self.note_reachable(False, str(exc.code()))
                self.clients.drop(self.address)
                pause_s = RETRY_S
            self.wakeup.wait(pause_s)

    def note_reachable(self, reachable: bool, error: str = '') -> None:
        """Log when the peer becomes reachable or unreachable."""
        self.failed_count = 0 if reachable else self.failed_count + 1
        if self.failed_count >= UNREACHABLE_COUNT:
            self.state.topology.note_unreachable(self.name)
        if reachable != self.reachable:
            self.reachable = reachable
            LOG.info(
                'Peer reached' if reachable else 'Peer lost',
                extra={'peer': self.name, 'error': error},
            )
