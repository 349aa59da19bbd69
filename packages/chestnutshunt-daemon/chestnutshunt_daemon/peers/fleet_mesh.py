"""Registers this daemon and maintains the links to its peers."""

import logging
import threading

import grpc
from returns import result

from chestnutshunt import errors
from chestnutshunt.membership import fleet_member
from chestnutshunt.routing import rendezvous
from chestnutshunt.store import object_store
from chestnutshunt.store import put_if_changed
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import fleet_link
from chestnutshunt_daemon.peers import heartbeat_exchange
from chestnutshunt_daemon.peers import leaf_links
from chestnutshunt_daemon.peers import pull_queue

__all__ = ['PULL_THREAD_COUNT', 'FleetMesh']

LOG = logging.getLogger(__name__)

# Longest wait for a pull before checking whether the daemon stops.
PULL_WAIT_S = 1.0

# Peers that are pulled from at once. More than the daemons that trouble on one
# VM or link usually affects.
PULL_THREAD_COUNT = 3

# Time between two updates of the links to the registered daemons.
REVIEW_PERIOD_S = 0.5

# The same while the registrations still change after the start; shorter than
# `START_SETTLED_S`, so that the changes are seen.
START_PERIOD_S = 0.4

# Of two hubs the one whose name sorts second calls the other only if it has
# not been called for this time, so that normally one call serves both.
CALLED_S = 1.5

# Many daemons may start at once. For at most `START_S` a daemon waits until
# the registrations have not changed for `START_SETTLED_S`, so that links are
# not built for a part of the fleet.
START_S = 4.0
START_SETTLED_S = 0.7


class FleetMesh:
    """Maintains the links of this daemon.

    A hub has a link to every other hub; see `chestnutshunt.membership`. Of
    two hubs the one whose name sorts first calls the other.

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
        self.leaf_links = leaf_links.LeafLinks(state, clients)
        self.first_seen_at: dict[str, float] = {}
        self.is_registered = False
        self.wake_event = threading.Event()
        self.pull_queue = pull_queue.PullQueue()
        state.wake_peers = self.wake
        state.pull_from = self.pull_queue.add

    def wake(self) -> None:
        """Send heartbeats now, to announce a change.

        A leaf announces only changes of its own: what it has heard from its
        hubs is known to them.
        """
        self.wake_event.set()
        for link in list(self.links.values()):
            link.wakeup.set()
        if self.state.leaving.is_set() or self.state.running_job_ids():
            self.leaf_links.wakeup.set()

    def run(self) -> None:
        """Register, then update the links until this daemon stops."""
        while not self.state.stopped.is_set():
            if not self.is_registered:
                self.is_registered = self.register()
            if self.is_settled():
                self.update_links()
                pause_s = REVIEW_PERIOD_S
            else:
                self.ask_seeds()
                pause_s = START_PERIOD_S
            self.wake_event.wait(pause_s)
            self.wake_event.clear()
        for link in self.links.values():
            link.close()

    def ask_seeds(self) -> None:
        """Exchange a heartbeat with a seed that replies, and pull from it."""
        config = self.state.config
        seeds = [seed for seed in config.seeds if seed != config.peer_address]
        for address in rendezvous.rank(config.name, seeds):
            try:
                heartbeat_exchange.HeartbeatExchange(
                    self.state, self.clients, address
                ).run()
            except grpc.RpcError as exc:
                self.clients.drop(address)
                LOG.info(
                    'Seed not reached',
                    extra={'peer': address, 'error': str(exc.code())},
                )
                continue
            if self.state.topology.members:
                return

    def is_settled(self) -> bool:
        """Return whether links may be built; see `START_S`."""
        now = self.state.clock.monotonic()
        if now - self.state.started_at > START_S:
            return True
        view = self.state.topology
        return bool(view.members) and now - view.changed_at > START_SETTLED_S

    def run_pulls(self) -> None:
        """Pull from peers whose heartbeats announced newer objects.

        Several threads run this.
        """
        while not self.state.stopped.is_set():
            with self.pull_queue.take(PULL_WAIT_S) as (address, kinds):
                self.pull(address, kinds)

    def pull(self, address: str, kinds: set[str]) -> None:
        """Pull the kinds that have not come from another peer meanwhile.

        The configuration is pulled first.
        """
        config_kind = self.state.schema.config_kind
        for kind in sorted(kinds, key=lambda kind: kind != config_kind):
            if not self.state.mirrors[kind].is_behind:
                continue
            try:
                heartbeat_exchange.pull(
                    self.state, self.clients.stub(address), kind
                )
            except grpc.RpcError as exc:
                LOG.info(
                    'Objects could not be pulled from a peer',
                    extra={
                        'peer': address,
                        'kind': kind,
                        'error': str(exc.code()),
                    },
                )
                return

    def register(self) -> bool:
        """Write this daemon's registration; return whether it succeeded."""
        own = self.state.topology.own
        kind = fleet_state.DAEMON_KIND
        outcome = self.store.put(
            kind, own.name, own.encode(), object_store.ABSENT
        )
        if isinstance(outcome, result.Failure) and isinstance(
            outcome.failure(), errors.Conflict
        ):
            outcome = put_if_changed.put_if_changed(
                self.store, kind, own.name, own.encode()
            )
        return isinstance(outcome, result.Success)

    def update_links(self) -> None:
        """Start missing links, close others and drop unregistered peers."""
        current = self.state.plan_links()
        hubs = {**current.hubs, **current.unusable}
        wanted = (
            {hub.address: hub for hub in hubs.values() if self.calls(hub)}
            if current.is_hub
            else {}
        )
        for address in wanted.keys() - self.links.keys():
            link = fleet_link.FleetLink(
                self.state, self.clients, wanted[address].name, address
            )
            self.links[address] = link
            link.start()
        for address in self.links.keys() - wanted.keys():
            self.links.pop(address).close()
        self.forget_unregistered()

    def calls(self, hub: fleet_member.FleetMember) -> bool:
        """Return whether this daemon is the one to call another hub."""
        if self.state.config.name < hub.name:
            return True
        now = self.state.clock.monotonic()
        seen_at = self.first_seen_at.setdefault(hub.name, now)
        called_at = self.state.topology.called_at.get(hub.name, seen_at)
        return now - called_at > CALLED_S

    def forget_unregistered(self) -> None:
        """Drop what is known of daemons that are no longer registered."""
        members = self.state.topology.members
        if not members:
            return
        for name in self.state.peers.keys() - members.keys():
            peer = self.state.peers.pop(name, None)
            self.state.time.forget(name)
            self.state.topology.note_reached(name)
            self.state.topology.called_at.pop(name, None)
            self.first_seen_at.pop(name, None)
            if peer is not None:
                self.clients.drop(peer.address)
