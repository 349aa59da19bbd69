"""What a daemon knows about the load of targets."""

import threading

import attrs

from chestnutshunt import clock
from chestnutshunt.routing import breaker

__all__ = ['LoadView', 'TargetLoad']

PEER_REPORT_LIFETIME_S = 10.0
"""Seconds after which a peer's count of requests is no longer used."""


@attrs.define(eq=False)
class TargetLoad:
    """Load of one target.

    Attributes
    ----------
    own_in_flight : int
        Requests of this daemon in flight.
    peer_reports : dict of str to tuple of float and int
        Time of a peer's report, and its requests in flight.
    circuit_breaker : Breaker
        Ejection state as seen here.
    """

    circuit_breaker: breaker.CircuitBreaker
    own_in_flight: int = 0
    peer_reports: dict[str, tuple[float, int]] = attrs.field(factory=dict)


class LoadView:
    """Counts requests in flight, here and at peers."""

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.loads: dict[str, TargetLoad] = {}
        self.lock = threading.Lock()

    def load_of(self, target: str) -> TargetLoad:
        """Return the load of a target, made when first asked for."""
        found = self.loads.get(target)
        if found is None:
            with self.lock:
                made = TargetLoad(breaker.CircuitBreaker(self.clock, target))
                found = self.loads.setdefault(target, made)
        return found

    def record_start(self, target: str) -> None:
        """Count a request in."""
        load = self.load_of(target)
        with self.lock:
            load.own_in_flight += 1

    def record_finish(self, target: str) -> None:
        """Count a request out."""
        load = self.load_of(target)
        with self.lock:
            load.own_in_flight -= 1

    def in_flight(self, target: str) -> int:
        """Return requests in flight to a target from all known daemons."""
        load = self.load_of(target)
        oldest = self.clock.monotonic() - PEER_REPORT_LIFETIME_S
        others = sum(
            count
            for reported_at, count in list(load.peer_reports.values())
            if reported_at >= oldest
        )
        return load.own_in_flight + others

    def snapshot(self) -> dict[str, int]:
        """Return this daemon's non-zero counts, to be told to peers."""
        with self.lock:
            return {
                name: load.own_in_flight
                for name, load in self.loads.items()
                if load.own_in_flight
            }

    def record_peer_report(self, peer: str, counts: dict[str, int]) -> None:
        """Take over a peer's digest; what it omits counts as zero."""
        now = self.clock.monotonic()
        for name, load in list(self.loads.items()):
            if name not in counts:
                load.peer_reports.pop(peer, None)
        for name, count in counts.items():
            self.load_of(name).peer_reports[peer] = (now, count)

    def retain_targets(self, live: set[str]) -> None:
        """Drop targets that the platform no longer lists."""
        with self.lock:
            for name in [name for name in self.loads if name not in live]:
                if not self.loads[name].own_in_flight:
                    del self.loads[name]
