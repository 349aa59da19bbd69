"""Thread that exchanges heartbeats with one peer."""

import logging

import grpc

from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import link_thread
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import fleet_codec
from chestnutshunt_daemon.peers import heartbeat
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['FleetLink', 'pull']

LOG = logging.getLogger(__name__)

# A peer that does not reply within this time counts as lost.
REPLY_TIMEOUT_S = 0.8

# Delay before a peer that did not reply is called again.
RETRY_S = 0.5


class FleetLink(link_thread.LinkThread):
    """Exchanges heartbeats with one peer until it is closed.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    clients : PeerClients
        Channels to peers.
    address : str
        ``IP:PORT`` of the peer.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        clients: peer_clients.PeerClients,
        address: str,
    ) -> None:
        super().__init__(address)
        self.state = state
        self.clients = clients
        self.peer_name = ''
        self.reachable = False
        self.echo_s = 0.0

    def run(self) -> None:
        """Exchange heartbeats; a failed channel is replaced."""
        while not self.closed.is_set() and not self.state.stopped.is_set():
            pause_s = self.state.heartbeat_s()
            self.wakeup.clear()
            try:
                self.exchange()
                self.note_reachable(True)
            except grpc.RpcError as exc:
                self.note_reachable(False, str(exc.code()))
                self.clients.drop(self.address)
                pause_s = RETRY_S
            self.wakeup.wait(pause_s)

    def note_reachable(self, reachable: bool, error: str = '') -> None:
        """Log when the peer becomes reachable or unreachable."""
        if reachable != self.reachable:
            self.reachable = reachable
            LOG.info(
                'Peer reached' if reachable else 'Peer lost',
                extra={
                    'peer': self.peer_name or self.address,
                    'error': error,
                },
            )

    def exchange(self) -> None:
        """Exchange one heartbeat and pull the kinds that the peer has newer.

        Raises
        ------
        grpc.RpcError
            The peer did not reply.
        """
        peer = self.state.peers.get(self.peer_name)
        for_holder = peer is not None and peer.holder
        sent_at = self.state.clock.monotonic()
        stub = self.clients.stub(self.address)
        reply = stub.Sync(
            heartbeat.make_heartbeat(self.state, for_holder, self.echo_s),
            timeout=REPLY_TIMEOUT_S,
        )
        received_at = self.state.clock.monotonic()
        self.peer_name = reply.name
        self.echo_s = reply.clock_s
        outdated_kinds = heartbeat.apply_heartbeat(
            self.state, reply, sent_at, (sent_at + received_at) / 2
        )
        for kind in outdated_kinds:
            pull(self.state, stub, kind)


def pull(state: fleet_state.FleetState, stub: object, kind: str) -> None:
    """Take all objects of a kind from a peer's mirror into the own one.

    A peer that has never read the kind is skipped.
    """
    sent_at = state.clock.monotonic()
    reply = stub.Pull(
        fleet_pb2.PullRequest(kind=kind), timeout=REPLY_TIMEOUT_S
    )
    if reply.digest.age_s < 0:
        return
    state.mirrors[kind].apply_listing(
        reply.digest.through,
        fleet_codec.decode_objects(reply.objects),
        sent_at - reply.digest.age_s,
        reply.digest.changed,
    )
