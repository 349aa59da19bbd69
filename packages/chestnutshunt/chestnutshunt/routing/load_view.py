"""Load of the targets as known to one daemon."""

import threading

import attrs

from chestnutshunt import clock
from chestnutshunt.routing import breaker

__all__ = ['LoadView', 'TargetLoad']

# Age above which a peer's report is ignored.
PEER_REPORT_LIFETIME_S = 10.0


@attrs.define(eq=False)
class TargetLoad:
    """Load of one target.

    Attributes
    ----------
    own_in_flight : int
        Requests in flight from this daemon.
    peer_reports : dict of str to tuple of float and int
        Monotonic time of each peer's last report, and its requests in
        flight.
    circuit_breaker : CircuitBreaker
        Circuit breaker of this daemon for the target.
    """

    circuit_breaker: breaker.CircuitBreaker
    own_in_flight: int = 0
    peer_reports: dict[str, tuple[float, int]] = attrs.field(factory=dict)


class LoadView:
    """Counts of requests in flight from this daemon and its peers.

    Thread-safe.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.loads: dict[str, TargetLoad] = {}
        self.lock = threading.Lock()

    def load_of(self, target: str) -> TargetLoad:
        """Return the load of a target, creating it on first use."""
        load = self.loads.get(target)
        if load is None:
            with self.lock:
                created = TargetLoad(
                    breaker.CircuitBreaker(self.clock, target)
                )
                load = self.loads.setdefault(target, created)
        return load

    def record_start(self, target: str) -> None:
        """Increment the requests in flight from this daemon."""
        load = self.load_of(target)
        with self.lock:
            load.own_in_flight += 1

    def record_finish(self, target: str) -> None:
        """Decrement the requests in flight from this daemon."""
        load = self.load_of(target)
        with self.lock:
            load.own_in_flight -= 1

    def in_flight(self, target: str) -> int:
        """Return the requests in flight to a target from all daemons."""
        load = self.load_of(target)
        oldest = self.clock.monotonic() - PEER_REPORT_LIFETIME_S
        peers_in_flight = sum(
            count
            for reported_at, count in list(load.peer_reports.values())
            if reported_at >= oldest
        )
        return load.own_in_flight + peers_in_flight

    def snapshot(self) -> dict[str, int]:
        """Return the non-zero counts of this daemon, for heartbeats."""
        with self.lock:
            return {
                name: load.own_in_flight
                for name, load in self.loads.items()
                if load.own_in_flight
            }

    def record_peer_report(self, peer: str, counts: dict[str, int]) -> None:
        """Record a peer's counts; targets without one count as zero."""
        now = self.clock.monotonic()
        for name, load in list(self.loads.items()):
            if name not in counts:
                load.peer_reports.pop(peer, None)
        for name, count in counts.items():
            self.load_of(name).peer_reports[peer] = (now, count)

    def retain_targets(self, live: set[str]) -> None:
        """Drop targets that are not live and have no requests in flight."""
        with self.lock:
            for name in [name for name in self.loads if name not in live]:
                if not self.loads[name].own_in_flight:
                    del self.loads[name]
