"""Maintains the links to the peers that this daemon calls."""

import logging
import threading

from returns import result

from chestnutshunt.membership import member
from chestnutshunt.mirror import mirror
from chestnutshunt.routing import rendezvous
from chestnutshunt.store import put_if_changed
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_link

__all__ = ['PeerMesh']

LOG = logging.getLogger(__name__)

LINKED_DAEMON_COUNT = 2
REVIEW_PERIOD_S = 0.5
SEED_RETRY_PERIOD_COUNT = 4


class PeerMesh:
    """Starts and closes links as the members change.

    Of two daemons, the one whose name sorts first calls the other. Within a
    data centre all daemons are linked; between two data centres only the
    first `LINKED_DAEMON_COUNT` of each in rendezvous order.

    Parameters
    ----------
    state : Node
        Shared state of the daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state
        self.links: dict[str, peer_link.PeerLink] = {}
        self.wakeup = threading.Event()
        state.mirror.listeners.append(self.on_mirror_change)

    def on_mirror_change(self, changes: mirror.Changes) -> None:
        """Send heartbeats at once, to announce the new revision."""
        for link in list(self.links.values()):
            link.wakeup.set()
        self.wakeup.set()

    def run(self) -> None:
        """Update members and links until the daemon stops."""
        rounds = 0
        while not self.state.stopped.is_set():
            self.update_members()
            self.update_links(rounds % SEED_RETRY_PERIOD_COUNT == 0)
            rounds += 1
            self.wakeup.wait(REVIEW_PERIOD_S)
            self.wakeup.clear()
        for link in self.links.values():
            link.close()

    def update_members(self) -> None:
        """Update the directory from the members listed by the platform."""
        listed_objects = self.state.mirror.objects_of_kind(member.MEMBER_KIND)
        listed_names = set()
        for stored in listed_objects:
            listed_member = member.Member.decode(stored)
            listed_names.add(listed_member.name)
            self.state.directory.add_listed(listed_member)
        for status in self.state.directory.known_peers():
            if status.peer.name not in listed_names:
                self.state.directory.forget(status.peer.name)

    def update_links(self, with_seeds: bool) -> None:
        """Start missing links and close those no longer needed.

        Parameters
        ----------
        with_seeds : bool
            Also link seed addresses that belong to no known member.
        """
        wanted_addresses = {
            status.peer.address
            for status in self.state.directory.known_peers()
            if self.is_caller_of(status.peer)
        }
        known_addresses = {
            status.peer.address
            for status in self.state.directory.known_peers()
        }
        self.state.peer_clients.keep_only(
            known_addresses | set(self.state.config.seeds)
        )
        if with_seeds:
            wanted_addresses |= set(self.state.config.seeds) - known_addresses
        wanted_addresses.discard(self.state.config.peer_address)
        for address in wanted_addresses - set(self.links):
            link = peer_link.PeerLink(self.state, address)
            self.links[address] = link
            link.start()
        unneeded_addresses = set(self.links) - wanted_addresses
        if not with_seeds:
            unneeded_addresses -= set(self.state.config.seeds)
        for address in unneeded_addresses:
            self.links.pop(address).close()

    def is_caller_of(self, peer: member.Member) -> bool:
        """Return whether this daemon is the one that calls a peer."""
        own = self.state.own
        if own.name > peer.name:
            return False
        if own.datacentre == peer.datacentre:
            return True
        pair = '/'.join(sorted((own.datacentre, peer.datacentre)))
        return self.is_gateway(own, pair) and self.is_gateway(peer, pair)

    def is_gateway(self, daemon: member.Member, pair: str) -> bool:
        """Return whether a daemon carries links between two data centres."""
        names = [
            status.peer.name
            for status in self.state.directory.known_peers()
            if status.peer.datacentre == daemon.datacentre
        ]
        if daemon.datacentre == self.state.own.datacentre:
            names.append(self.state.own.name)
        first = rendezvous.rank(pair, names)[:LINKED_DAEMON_COUNT]
        return daemon.name in first


def publish_member(state: node.Node) -> bool:
    """Write this daemon's member object; return True on success."""
    own = state.own
    outcome = put_if_changed.put_if_changed(
        state.store, member.MEMBER_KIND, own.name, own.encode()
    )
    return isinstance(outcome, result.Success)


def withdraw_member(state: node.Node) -> None:
    """Delete this daemon's member object unless another has replaced it."""
    own = state.own
    stored = state.store.get(member.MEMBER_KIND, own.name).value_or(None)
    if stored is not None and stored.value == own.encode():
        state.store.delete(member.MEMBER_KIND, own.name, stored.version)
