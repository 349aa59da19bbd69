"""Keeps a link to every peer that this daemon has to call."""

import logging
import threading

from returns import result

from chestnutshunt.membership import member
from chestnutshunt.mirror import mirror
from chestnutshunt.routing import rendezvous
from chestnutshunt.store import put_changed
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_link

__all__ = ['PeerMesh']

LOG = logging.getLogger(__name__)

LINKS_BETWEEN_DATACENTRES = 2
REVIEW_PERIOD = 0.5
SEED_RETRY_PERIODS = 4


class PeerMesh:
    """Reviews the members and starts or ends links.

    Of two daemons the one whose name sorts first calls the other. Inside a
    data centre all are linked; between two data centres only the first
    daemons of each.

    Parameters
    ----------
    state : Node
        This daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state
        self.links: dict[str, peer_link.PeerLink] = {}
        self.changed = threading.Event()
        state.mirror.listeners.append(self.mirror_changed)

    def mirror_changed(self, changes: mirror.Changes) -> None:
        """Tell peers at once that there is a newer revision."""
        for link in list(self.links.values()):
            link.wakeup.set()
        self.changed.set()

    def run(self) -> None:
        """Review the members until the daemon stops."""
        rounds = 0
        while not self.state.stopped.is_set():
            self.learn_members()
            self.review(rounds % SEED_RETRY_PERIODS == 0)
            rounds += 1
            self.changed.wait(REVIEW_PERIOD)
            self.changed.clear()
        for link in self.links.values():
            link.close()

    def learn_members(self) -> None:
        """Take over the members that the platform lists."""
        listed = self.state.mirror.of_kind(member.MEMBER_KIND)
        names = set()
        for held in listed:
            known = member.Member.decode(held)
            names.add(known.name)
            self.state.directory.learn(known)
        for sighting in self.state.directory.known():
            if sighting.peer.name not in names:
                self.state.directory.forget(sighting.peer.name)

    def review(self, with_seeds: bool) -> None:
        """Start links that are missing and end those not needed."""
        wanted = {
            sighting.peer.address
            for sighting in self.state.directory.known()
            if self.calls(sighting.peer)
        }
        known = {item.peer.address for item in self.state.directory.known()}
        self.state.peers.keep_only(known | set(self.state.config.seeds))
        if with_seeds:
            wanted |= set(self.state.config.seeds) - known
        wanted.discard(self.state.config.peer_address)
        for address in wanted - set(self.links):
            link = peer_link.PeerLink(self.state, address)
            self.links[address] = link
            link.start()
        unwanted = set(self.links) - wanted
        if not with_seeds:
            unwanted -= set(self.state.config.seeds)
        for address in unwanted:
            self.links.pop(address).close()

    def calls(self, peer: member.Member) -> bool:
        """Tell whether this daemon keeps the link to a peer."""
        own = self.state.own
        if own.name > peer.name:
            return False
        if own.datacentre == peer.datacentre:
            return True
        pair = '/'.join(sorted((own.datacentre, peer.datacentre)))
        return self.is_first(own, pair) and self.is_first(peer, pair)

    def is_first(self, one: member.Member, pair: str) -> bool:
        """Tell whether a daemon carries links between two data centres."""
        names = [
            item.peer.name
            for item in self.state.directory.known()
            if item.peer.datacentre == one.datacentre
        ]
        if one.datacentre == self.state.own.datacentre:
            names.append(self.state.own.name)
        first = rendezvous.rank(pair, names)[:LINKS_BETWEEN_DATACENTRES]
        return one.name in first


def publish_member(state: node.Node) -> bool:
    """Write this daemon's member object; return True on success."""
    own = state.own
    written = put_changed.put_changed(
        state.store, member.MEMBER_KIND, own.name, own.encode()
    )
    return isinstance(written, result.Success)


def withdraw_member(state: node.Node) -> None:
    """Delete this daemon's member object, if it is still its own."""
    own = state.own
    found = state.store.get(member.MEMBER_KIND, own.name).value_or(None)
    if found is not None and found.value == own.encode():
        state.store.delete(member.MEMBER_KIND, own.name, found.version)
