"""One thread for each peer that this daemon calls."""

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

REPLY_S = 0.8
"""Seconds a reply may take before the connection counts as silent."""

RETRY_S = 0.5
"""Seconds before a peer that does not answer is called again."""


class FleetLink(link_thread.LinkThread):
    """Exchanges heartbeats with one peer until it is closed.

    Parameters
    ----------
    state : FleetState
        This daemon.
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
        self.peer = ''
        self.reached = False
        self.echo_s = 0.0

    def run(self) -> None:
        """Exchange heartbeats; a silent connection is replaced."""
        while not self.closed.is_set() and not self.state.stopped.is_set():
            pause = self.state.heartbeat_s()
            self.wakeup.clear()
            try:
                self.exchange()
                self.note(True)
            except grpc.RpcError as exc:
                self.note(False, str(exc.code()))
                self.clients.drop(self.address)
                pause = RETRY_S
            self.wakeup.wait(pause)

    def note(self, reached: bool, error: str = '') -> None:
        """Log when the peer is lost or regained."""
        if reached != self.reached:
            self.reached = reached
            LOG.info(
                'Peer reached' if reached else 'Peer lost',
                extra={
                    'peer': self.peer or self.address,
                    'error': error,
                },
            )

    def exchange(self) -> None:
        """Send a heartbeat, take the reply and pull what is missing."""
        facts = self.state.peers.get(self.peer)
        for_holder = facts is not None and facts.holder
        sent_at = self.state.clock.monotonic()
        stub = self.clients.stub(self.address)
        reply = stub.Sync(
            heartbeat.make_state(self.state, for_holder, self.echo_s),
            timeout=REPLY_S,
        )
        now = self.state.clock.monotonic()
        self.peer = reply.name
        self.echo_s = reply.clock_s
        missing = heartbeat.take_state(
            self.state, reply, sent_at, (sent_at + now) / 2
        )
        for kind in missing:
            pull(self.state, stub, kind)


def pull(state: fleet_state.FleetState, stub: object, kind: str) -> None:
    """Take over all objects of a kind from a peer."""
    sent_at = state.clock.monotonic()
    reply = stub.Pull(fleet_pb2.PullRequest(kind=kind), timeout=REPLY_S)
    if reply.digest.age_s < 0:
        return
    state.mirrors[kind].take_listing(
        reply.digest.through,
        fleet_codec.decode_objects(reply.objects),
        sent_at - reply.digest.age_s,
        reply.digest.changed,
    )
