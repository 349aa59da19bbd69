"""How many requests wait at the daemons, by service."""

import threading

from chestnutshunt import clock

__all__ = ['QueueView']

PEER_REPORT_LIFETIME_S = 10.0
"""Seconds after which a peer's count is no longer used."""


class QueueView:
    """Latest counts of waiting requests that peers reported.

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
        """Take over a peer's counts."""
        with self.lock:
            self.reports[peer] = (self.clock.monotonic(), waiting)

    def waiting_at_peers(self, service: str) -> int:
        """Return the requests that wait for a service at peers."""
        oldest = self.clock.monotonic() - PEER_REPORT_LIFETIME_S
        with self.lock:
            for peer in [p for p, r in self.reports.items() if r[0] < oldest]:
                del self.reports[peer]
            return sum(r[1].get(service, 0) for r in self.reports.values())
