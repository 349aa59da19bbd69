"""Registers this daemon and keeps links to its peers."""

import logging
import queue
import threading

import grpc
from returns import result

from chestnutshunt.store import object_store
from chestnutshunt.store import put_changed
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import fleet_link

__all__ = ['FleetMesh']

LOG = logging.getLogger(__name__)

PULL_WAIT_S = 1.0
"""Seconds between two looks at whether the daemon stops."""

REVIEW_S = 0.5
"""Seconds between two reviews of the daemons known."""


class FleetMesh:
    """Links this daemon with all others.

    Of two daemons the one whose name sorts first calls the other, but for one
    that is new there: it is called as soon as its registration is read.

    Parameters
    ----------
    state : FleetState
        This daemon.
    store : ObjectStore
        Where daemons register.
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
        self.registered = False
        self.changed = threading.Event()
        self.pulls: queue.SimpleQueue = queue.SimpleQueue()
        state.wake_peers = self.wake
        state.pull_from = lambda address, kinds: self.pulls.put(
            (address, kinds)
        )

    def wake(self) -> None:
        """Send heartbeats at once, since something has changed."""
        self.changed.set()
        for link in list(self.links.values()):
            link.wakeup.set()

    def run(self) -> None:
        """Review the daemons known until this one stops."""
        while not self.state.stopped.is_set():
            if not self.registered:
                self.registered = self.register()
            self.review()
            self.changed.wait(REVIEW_S)
            self.changed.clear()
        for link in self.links.values():
            link.close()

    def run_pulls(self) -> None:
        """Pull changes from the peers that called and have them."""
        while not self.state.stopped.is_set():
            try:
                address, kinds = self.pulls.get(timeout=PULL_WAIT_S)
            except queue.Empty:
                continue
            try:
                for kind in kinds:
                    fleet_link.pull(
                        self.state, self.clients.stub(address), kind
                    )
            except grpc.RpcError as exc:
                LOG.info(
                    'Changes could not be pulled',
                    extra={'peer': address, 'error': str(exc.code())},
                )

    def register(self) -> bool:
        """Write this daemon's registration; return True on success."""
        config = self.state.config
        value = {
            'address': config.peer_address,
            'datacentre': config.datacentre,
        }
        written = put_changed.put_changed(
            self.store, fleet_state.DAEMON_KIND, config.name, value
        )
        return isinstance(written, result.Success)

    def review(self) -> None:
        """Start links that are missing and end those not needed."""
        own = self.state.config.name
        held = self.state.mirrors[fleet_state.DAEMON_KIND].values()
        wanted = {item.value['address'] for item in held if item.name > own}
        for address in wanted - set(self.links):
            link = fleet_link.FleetLink(self.state, self.clients, address)
            self.links[address] = link
            link.start()
        for address in set(self.links) - wanted:
            self.links.pop(address).close()
            self.clients.drop(address)
        known = {item.name for item in held}
        for name in set(self.state.peers) - known:
            if known:
                self.state.peers.pop(name, None)
                self.state.time.forget(name)
