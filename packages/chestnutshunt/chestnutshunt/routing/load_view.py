"""What a daemon knows about the load of targets."""

import threading

import attrs

from chestnutshunt import clock
from chestnutshunt.routing import breaker

__all__ = ['LoadView', 'TargetLoad']

PEER_REPORT_LIFETIME = 10.0
"""Seconds after which a peer's count of requests is no longer used."""


@attrs.define(eq=False)
class TargetLoad:
    """Load of one target.

    Attributes
    ----------
    own : int
        Requests of this daemon in flight.
    peers : dict of str to tuple of float and int
        Time of a peer's report, and its requests in flight.
    guard : Breaker
        Ejection state as seen here.
    """

    guard: breaker.Breaker
    own: int = 0
    peers: dict[str, tuple[float, int]] = attrs.field(factory=dict)


class LoadView:
    """Counts requests in flight, here and at peers."""

    def __init__(self, source: clock.Clock) -> None:
        self.source = source
        self.loads: dict[str, TargetLoad] = {}
        self.lock = threading.Lock()

    def of(self, target: str) -> TargetLoad:
        """Return the load of a target, made when first asked for."""
        found = self.loads.get(target)
        if found is None:
            with self.lock:
                made = TargetLoad(breaker.Breaker(self.source, target))
                found = self.loads.setdefault(target, made)
        return found

    def started(self, target: str) -> None:
        """Count a request in."""
        load = self.of(target)
        with self.lock:
            load.own += 1

    def finished(self, target: str) -> None:
        """Count a request out."""
        load = self.of(target)
        with self.lock:
            load.own -= 1

    def in_flight(self, target: str) -> int:
        """Return requests in flight to a target from all known daemons."""
        load = self.of(target)
        oldest = self.source.monotonic() - PEER_REPORT_LIFETIME
        others = sum(
            count
            for reported_at, count in list(load.peers.values())
            if reported_at >= oldest
        )
        return load.own + others

    def digest(self) -> dict[str, int]:
        """Return this daemon's non-zero counts, to be told to peers."""
        with self.lock:
            return {
                name: load.own for name, load in self.loads.items() if load.own
            }

    def peer_reported(self, peer: str, counts: dict[str, int]) -> None:
        """Take over a peer's digest; what it omits counts as zero."""
        now = self.source.monotonic()
        for name, load in list(self.loads.items()):
            if name not in counts:
                load.peers.pop(peer, None)
        for name, count in counts.items():
            self.of(name).peers[peer] = (now, count)

    def forget(self, live: set[str]) -> None:
        """Drop targets that the platform no longer lists."""
        with self.lock:
            for name in [name for name in self.loads if name not in live]:
                if not self.loads[name].own:
                    del self.loads[name]
