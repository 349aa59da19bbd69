"""Thread of a leaf that exchanges heartbeats with its hubs in turn."""

import logging
import threading

import grpc

from chestnutshunt.membership import fleet_member
from chestnutshunt.membership import topology
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import heartbeat_exchange

__all__ = ['LeafLinks']

LOG = logging.getLogger(__name__)

# Time between two checks of whether a hub has become a leaf.
HUB_POLL_S = 1.0

# One in this many heartbeats goes to a hub that did not reply, to find out
# whether it has returned.
PROBE_EVERY_COUNT = 6

# Delay after a hub did not reply before the next hub is called.
FAILURE_DELAY_S = 0.05


class LeafLinks:
    """Exchanges heartbeats with the hubs of the own data centre.

    One thread calls them in turn, so that one hub's failure delays the news
    by one call and a leaf needs no thread for each hub.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    clients : PeerClients
        Channels to peers.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        clients: peer_clients.PeerClients,
    ) -> None:
        self.state = state
        self.clients = clients
        self.exchanges: dict[str, heartbeat_exchange.HeartbeatExchange] = {}
        self.wakeup = threading.Event()
        self.turn = 0

    def run(self) -> None:
        """Exchange heartbeats while this daemon is a leaf."""
        while not self.state.stopped.is_set():
            current = self.state.topology.current
            hub = None if current.is_hub else self.next_hub(current)
            self.wakeup.clear()
            if hub is None:
                self.exchanges.clear()
                self.wakeup.wait(HUB_POLL_S)
            elif self.contact(hub):
                self.wakeup.wait(fleet_state.LEAF_HEARTBEAT_S)
            else:
                self.wakeup.wait(FAILURE_DELAY_S)

    def next_hub(
        self, current: topology.Topology
    ) -> fleet_member.FleetMember | None:
        """Return the hub whose turn it is, ``None`` if there is none."""
        self.turn += 1
        hubs = sorted(current.hubs.values(), key=lambda hub: hub.name)
        lost = sorted(current.unusable.values(), key=lambda hub: hub.name)
        if lost and (not hubs or self.turn % PROBE_EVERY_COUNT == 0):
            return lost[self.turn // PROBE_EVERY_COUNT % len(lost)]
        return hubs[self.turn % len(hubs)] if hubs else None

    def contact(self, hub: fleet_member.FleetMember) -> bool:
        """Exchange one heartbeat; return whether the hub replied."""
        exchange = self.exchanges.get(hub.address)
        if exchange is None:
            exchange = heartbeat_exchange.HeartbeatExchange(
                self.state, self.clients, hub.address
            )
            self.exchanges[hub.address] = exchange
        was_unreachable = hub.name in self.state.topology.unreachable
        try:
            exchange.run()
        except grpc.RpcError as exc:
            self.clients.drop(hub.address)
            self.exchanges.pop(hub.address, None)
            self.state.topology.note_unreachable(hub.name)
            self.state.plan_links()
            if not was_unreachable:
                LOG.info(
                    'Peer lost',
                    extra={'peer': hub.name, 'error': str(exc.code())},
                )
            return False
        if was_unreachable:
            self.state.plan_links()
        return True
