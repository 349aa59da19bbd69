"""Directory of the known daemons with heartbeat failure detection."""

import threading

import attrs

from chestnutshunt import clock
from chestnutshunt.membership import member
from chestnutshunt.routing import rendezvous

__all__ = ['Directory', 'PeerStatus']

# Time without a heartbeat after which a peer counts as silent.
SILENCE_LIMIT_S = 4.0

# Heartbeats slow down with the number of peers, so the limit grows with it.
SILENCE_BASE_S = 1.5
SILENCE_PER_PEER_S = 0.2


@attrs.define(eq=False)
class PeerStatus:
    """Last known state of one peer.

    Attributes
    ----------
    peer : Member
        Latest known incarnation of the peer.
    heard_at : float
        Monotonic time of its last heartbeat in seconds; 0.0 if there was
        none or the peer was marked silent.
    leaving : bool
        True if its last heartbeat said that it is shutting down.
    """

    peer: member.Member
    heard_at: float = 0.0
    leaving: bool = False


class Directory:
    """Thread-safe directory of the daemons.

    Parameters
    ----------
    clock : Clock
        Clock for the age of heartbeats.
    own : Member
        This daemon, which is always live.
    """

    def __init__(self, clock: clock.Clock, own: member.Member) -> None:
        self.clock = clock
        self.own = own
        self.peer_statuses: dict[str, PeerStatus] = {}
        self.lock = threading.Lock()

    def add_listed(self, daemon: member.Member) -> None:
        """Record a listed daemon, unless a live peer has that name."""
        if daemon.name == self.own.name:
            return
        with self.lock:
            status = self.peer_statuses.get(daemon.name)
            if status is None:
                self.peer_statuses[daemon.name] = PeerStatus(daemon)
            elif not self.is_live(status):
                status.peer = daemon

    def record_heartbeat(self, daemon: member.Member, leaving: bool) -> None:
        """Record a heartbeat, which takes precedence over a listing."""
        if daemon.name == self.own.name:
            return
        with self.lock:
            status = self.peer_statuses.setdefault(
                daemon.name, PeerStatus(daemon)
            )
            status.peer = daemon
            status.heard_at = self.clock.monotonic()
            status.leaving = leaving

    def forget(self, name: str) -> None:
        """Drop a daemon that is gone, unless it is live."""
        with self.lock:
            status = self.peer_statuses.get(name)
            if status is not None and not self.is_live(status):
                del self.peer_statuses[name]

    def is_live(self, status: PeerStatus) -> bool:
        """Return whether a peer has sent a heartbeat recently."""
        if not status.heard_at:
            return False
        silence_s = self.clock.monotonic() - status.heard_at
        scaled_limit_s = (
            SILENCE_PER_PEER_S * len(self.peer_statuses) + SILENCE_BASE_S
        )
        return silence_s < max(SILENCE_LIMIT_S, scaled_limit_s)

    def mark_silent(self, name: str) -> None:
        """Consider a peer silent until its next heartbeat."""
        with self.lock:
            status = self.peer_statuses.get(name)
            if status is not None:
                status.heard_at = 0.0

    def live_members(
        self, datacentre: str | None = None
    ) -> list[member.Member]:
        """Return this daemon and the live peers that are not leaving."""
        with self.lock:
            members = [
                status.peer
                for status in self.peer_statuses.values()
                if self.is_live(status) and not status.leaving
            ]
        members.append(self.own)
        if datacentre is None:
            return members
        return [item for item in members if item.datacentre == datacentre]

    def known_peers(self) -> list[PeerStatus]:
        """Return the status of each known peer."""
        with self.lock:
            return list(self.peer_statuses.values())

    def responsible_member(self, key: str) -> member.Member:
        """Return the live daemon that a key is assigned to."""
        by_name = {item.name: item for item in self.live_members()}
        return by_name[rendezvous.rank(key, by_name)[0]]

    def is_relay(self, count: int) -> bool:
        """Return whether this daemon watches the platform for its data centre.

        Parameters
        ----------
        count : int
            Number of relays in each data centre.
        """
        near = [item.name for item in self.live_members(self.own.datacentre)]
        return self.own.name in rendezvous.rank('relay', near)[:count]
