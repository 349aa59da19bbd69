"""Number of queued requests at the peers, by service."""

import threading

from chestnutshunt import clock

__all__ = ['QueueView']

# Age above which a peer's report is ignored.
PEER_REPORT_LIFETIME_S = 10.0


class QueueView:
    """Latest counts of queued requests reported by the peers.

    Thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock for the age of reports.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.reports: dict[str, tuple[float, dict[str, int]]] = {}
        self.lock = threading.Lock()

    def record_peer_report(self, peer: str, waiting: dict[str, int]) -> None:
        """Record a peer's counts by service."""
        with self.lock:
            self.reports[peer] = (self.clock.monotonic(), waiting)

    def waiting_at_peers(self, service: str) -> int:
        """Return the number of requests queued for a service at peers."""
        oldest = self.clock.monotonic() - PEER_REPORT_LIFETIME_S
        with self.lock:
            for peer in [p for p, r in self.reports.items() if r[0] < oldest]:
                del self.reports[peer]
            return sum(r[1].get(service, 0) for r in self.reports.values())
