"""Known daemons and when each was last heard."""

import threading

import attrs

from chestnutshunt import clock
from chestnutshunt.membership import member
from chestnutshunt.routing import rendezvous

__all__ = ['Directory', 'PeerStatus']

SILENCE_LIMIT_S = 4.0
"""Seconds without a heartbeat after which a peer counts as silent."""

SILENCE_PER_PEER_S = 0.2
"""Seconds by which each peer lengthens the limit, as heartbeats slow down."""


@attrs.define(eq=False)
class PeerStatus:
    """What is known of one peer.

    Attributes
    ----------
    peer : Member
        Its latest incarnation.
    heard_at : float
        Monotonic time of its last heartbeat, 0.0 if never heard.
    leaving : bool
        True once it has said that it is shutting down.
    """

    peer: member.Member
    heard_at: float = 0.0
    leaving: bool = False


class Directory:
    """Thread-safe view of the daemons.

    Parameters
    ----------
    clock : Clock
        Clock for silences.
    own : Member
        This daemon.
    """

    def __init__(self, clock: clock.Clock, own: member.Member) -> None:
        self.clock = clock
        self.own = own
        self.peer_statuses: dict[str, PeerStatus] = {}
        self.lock = threading.Lock()

    def add_listed(self, known: member.Member) -> None:
        """Note a daemon that was listed but not yet heard."""
        if known.name == self.own.name:
            return
        with self.lock:
            held = self.peer_statuses.get(known.name)
            if held is None:
                self.peer_statuses[known.name] = PeerStatus(known)
            elif not self.is_live(held):
                held.peer = known

    def record_heartbeat(self, known: member.Member, leaving: bool) -> None:
        """Note a heartbeat, which outweighs any listing."""
        if known.name == self.own.name:
            return
        with self.lock:
            held = self.peer_statuses.setdefault(known.name, PeerStatus(known))
            held.peer = known
            held.heard_at = self.clock.monotonic()
            held.leaving = leaving

    def forget(self, name: str) -> None:
        """Drop a daemon that has left and is silent."""
        with self.lock:
            held = self.peer_statuses.get(name)
            if held is not None and not self.is_live(held):
                del self.peer_statuses[name]

    def is_live(self, held: PeerStatus) -> bool:
        """Tell whether a peer was heard recently."""
        if not held.heard_at:
            return False
        silence = self.clock.monotonic() - held.heard_at
        slowed = SILENCE_PER_PEER_S * len(self.peer_statuses) + 1.5
        return silence < max(SILENCE_LIMIT_S, slowed)

    def mark_silent(self, name: str) -> None:
        """Take a peer for silent until it is heard again."""
        with self.lock:
            held = self.peer_statuses.get(name)
            if held is not None:
                held.heard_at = 0.0

    def live_members(
        self, datacentre: str | None = None
    ) -> list[member.Member]:
        """Return this daemon and the live peers that are not leaving."""
        with self.lock:
            found = [
                held.peer
                for held in self.peer_statuses.values()
                if self.is_live(held) and not held.leaving
            ]
        found.append(self.own)
        if datacentre is None:
            return found
        return [item for item in found if item.datacentre == datacentre]

    def known_peers(self) -> list[PeerStatus]:
        """Return everything known of the peers."""
        with self.lock:
            return list(self.peer_statuses.values())

    def responsible_member(self, key: str) -> member.Member:
        """Return the live daemon that is responsible for a key."""
        by_name = {item.name: item for item in self.live_members()}
        return by_name[rendezvous.rank(key, by_name)[0]]

    def is_relay(self, count: int) -> bool:
        """Tell whether this daemon watches for its data centre."""
        near = [item.name for item in self.live_members(self.own.datacentre)]
        return self.own.name in rendezvous.rank('relay', near)[:count]
