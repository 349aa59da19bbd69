"""Registers this daemon and maintains the links to its peers."""

import logging
import queue
import threading

import grpc
from returns import result

from chestnutshunt.store import object_store
from chestnutshunt.store import put_if_changed
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import fleet_link

__all__ = ['FleetMesh']

LOG = logging.getLogger(__name__)

# Longest wait for a pull before checking whether the daemon stops.
PULL_WAIT_S = 1.0

# Time between two updates of the links to the registered daemons.
REVIEW_PERIOD_S = 0.5


class FleetMesh:
    """Maintains links between this daemon and all others.

    Of two daemons the one whose name sorts first calls the other, as soon as
    it has read the registration of the other.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    store : ObjectStore
        Store that keeps the registrations.
    clients : PeerClients
        Channels to peers.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: object_store.ObjectStore,
        clients: peer_clients.PeerClients,
    ) -> None:
        self.state = state
        self.store = store
        self.clients = clients
        self.links: dict[str, fleet_link.FleetLink] = {}
        self.is_registered = False
        self.wake_event = threading.Event()
        self.pull_queue: queue.SimpleQueue = queue.SimpleQueue()
        state.wake_peers = self.wake
        state.pull_from = lambda address, kinds: self.pull_queue.put(
            (address, kinds)
        )

    def wake(self) -> None:
        """Send heartbeats to all called peers now, to announce a change."""
        self.wake_event.set()
        for link in list(self.links.values()):
            link.wakeup.set()

    def run(self) -> None:
        """Register, then update the links until this daemon stops."""
        while not self.state.stopped.is_set():
            if not self.is_registered:
                self.is_registered = self.register()
            self.update_links()
            self.wake_event.wait(REVIEW_PERIOD_S)
            self.wake_event.clear()
        for link in self.links.values():
            link.close()

    def run_pulls(self) -> None:
        """Pull from peers whose heartbeats announced newer objects."""
        while not self.state.stopped.is_set():
            try:
                address, kinds = self.pull_queue.get(timeout=PULL_WAIT_S)
            except queue.Empty:
                continue
            try:
                for kind in kinds:
                    fleet_link.pull(
                        self.state, self.clients.stub(address), kind
                    )
            except grpc.RpcError as exc:
                LOG.info(
                    'Objects could not be pulled from a peer',
                    extra={'peer': address, 'error': str(exc.code())},
                )

    def register(self) -> bool:
        """Write this daemon's registration; return whether it succeeded."""
        config = self.state.config
        value = {
            'address': config.peer_address,
            'datacentre': config.datacentre,
        }
        outcome = put_if_changed.put_if_changed(
            self.store, fleet_state.DAEMON_KIND, config.name, value
        )
        return isinstance(outcome, result.Success)

    def update_links(self) -> None:
        """Start missing links, close others and drop unregistered peers."""
        own_name = self.state.config.name
        daemons = self.state.mirrors[fleet_state.DAEMON_KIND].values()
        wanted = {
            daemon.value['address']
            for daemon in daemons
            if daemon.name > own_name
        }
        for address in wanted - set(self.links):
            link = fleet_link.FleetLink(self.state, self.clients, address)
            self.links[address] = link
            link.start()
        for address in set(self.links) - wanted:
            self.links.pop(address).close()
            self.clients.drop(address)
        registered = {daemon.name for daemon in daemons}
        for name in set(self.state.peers) - registered:
            if registered:
                self.state.peers.pop(name, None)
                self.state.time.forget(name)
