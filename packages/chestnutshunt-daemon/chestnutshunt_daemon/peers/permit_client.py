"""Thread that fetches permits for requests to rate-limited targets."""

from chestnutshunt.routing import rendezvous
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import permit_broker

__all__ = ['PermitClient']

# Time between two calls, and what each registered daemon adds to it, so that
# an issuer gets at most 100 calls a second from any number of daemons.
PERIOD_S = 0.05
PERIOD_PER_MEMBER_S = 0.01

# Longest wait for a want before checking whether the daemon stops.
IDLE_S = 0.5


class PermitClient:
    """Fetches the permits that this daemon wants, all in one call.

    A leaf calls a hub of its data centre, which passes the wants on.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    clients : PeerClients
        Channels to peers.
    broker : PermitBroker
        Issues permits if this daemon is a hub.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        clients: peer_clients.PeerClients,
        broker: permit_broker.PermitBroker,
    ) -> None:
        self.state = state
        self.clients = clients
        self.broker = broker

    def run(self) -> None:
        """Fetch permits until this daemon stops."""
        gate = self.state.rate_gate
        while not self.state.stopped.is_set():
            if not gate.has_wants() and not gate.wanted.wait(IDLE_S):
                continue
            gate.wanted.clear()
            self.fetch()
            self.state.stopped.wait(self.period_s())

    def period_s(self) -> float:
        """Return the current time between two calls."""
        members = len(self.state.topology.members)
        return PERIOD_S + PERIOD_PER_MEMBER_S * members

    def fetch(self) -> None:
        """Fetch permits once."""
        gate = self.state.rate_gate
        wants = gate.collect()
        if not wants:
            return
        called_at = self.state.clock.monotonic()
        current = self.state.topology.current
        if current.is_hub or not current.hubs:
            grants = self.broker.issue(wants)
        else:
            name = rendezvous.rank(self.state.config.name, current.hubs)[0]
            grants = permit_broker.call_issuer(
                self.clients, current.hubs[name].address, wants, relayed=False
            )
        gate.accept(grants, called_at)
        issued = sum(grant.count for grant in grants)
        self.state.metrics.permits.labels('issued').inc(issued)
        self.state.metrics.permits.labels('missing').inc(
            sum(want.count for want in wants) - issued
        )
