"""How many requests wait at the daemons, by service."""

import threading

from chestnutshunt import clock

__all__ = ['QueueView']

REPORT_LIFETIME = 10.0
"""Seconds after which a peer's count is no longer used."""


class QueueView:
    """Latest counts of waiting requests that peers reported.

    Parameters
    ----------
    source : Clock
        Clock for the age of reports.
    """

    def __init__(self, source: clock.Clock) -> None:
        self.source = source
        self.reports: dict[str, tuple[float, dict[str, int]]] = {}
        self.lock = threading.Lock()

    def peer_reported(self, peer: str, waiting: dict[str, int]) -> None:
        """Take over a peer's counts."""
        with self.lock:
            self.reports[peer] = (self.source.monotonic(), waiting)

    def waiting(self, service: str) -> int:
        """Return the requests that wait for a service at peers."""
        oldest = self.source.monotonic() - REPORT_LIFETIME
        with self.lock:
            for peer in [p for p, r in self.reports.items() if r[0] < oldest]:
                del self.reports[peer]
            return sum(r[1].get(service, 0) for r in self.reports.values())
