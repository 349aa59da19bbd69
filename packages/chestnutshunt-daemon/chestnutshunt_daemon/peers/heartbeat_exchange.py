"""Exchange of heartbeats with one peer, called by this daemon."""

from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import fleet_codec
from chestnutshunt_daemon.peers import heartbeat
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['REPLY_TIMEOUT_S', 'HeartbeatExchange', 'pull']

# A peer that does not reply within this time counts as lost.
REPLY_TIMEOUT_S = 0.8


class HeartbeatExchange:
    """Sends heartbeats to one peer and applies its replies.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    clients : PeerClients
        Channels to peers.
    address : str
        ``IP:PORT`` of the peer.

    Attributes
    ----------
    peer_name : str
        Name of the peer; empty before its first reply.
    echo_s : float
        Monotonic time in seconds of the peer in its last reply.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        clients: peer_clients.PeerClients,
        address: str,
    ) -> None:
        self.state = state
        self.clients = clients
        self.address = address
        self.peer_name = ''
        self.echo_s = 0.0

    def run(self, timeout_s: float = REPLY_TIMEOUT_S) -> None:
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
            heartbeat.make_heartbeat(
                self.state,
                for_holder,
                self.echo_s,
                peer is not None and not peer.hub,
            ),
            timeout=timeout_s,
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
    """Take what a peer's mirror of a kind has newer into the own one.

    A peer that has never read the kind is skipped.
    """
    mirror = state.mirrors[kind]
    sent_at = state.clock.monotonic()
    reply = stub.Pull(
        fleet_pb2.PullRequest(kind=kind, after=mirror.through),
        timeout=REPLY_TIMEOUT_S,
    )
    if reply.digest.age_s < 0:
        return
    confirmed_at = sent_at - reply.digest.age_s
    if reply.partial:
        mirror.apply_changes(
            reply.digest.through,
            fleet_codec.decode_changes(reply),
            confirmed_at,
            reply.digest.changed,
        )
    else:
        mirror.apply_listing(
            reply.digest.through,
            fleet_codec.decode_objects(reply.objects),
            confirmed_at,
            reply.digest.changed,
        )
