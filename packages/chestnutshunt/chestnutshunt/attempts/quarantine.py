"""Requests that have crashed targets, known to all daemons."""

import threading

from chestnutshunt import clock

__all__ = ['Quarantine']

REFUSAL_CRASH_COUNT = 2
ENTRY_LIFETIME_S = 3600.0
"""Seconds a digest stays refused."""
MAX_DIGEST_COUNT = 10_000


class Quarantine:
    """Counts, for each request digest, the targets it crashed.

    Parameters
    ----------
    clock : Clock
        Clock for the age of entries.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.crash_times: dict[str, dict[str, float]] = {}
        self.lock = threading.Lock()

    def record_crash(self, digest: str, target: str) -> None:
        """Note that a target crashed while it ran the request."""
        with self.lock:
            seen = self.crash_times.setdefault(digest, {})
            seen.setdefault(target, self.clock.monotonic())
            while len(self.crash_times) > MAX_DIGEST_COUNT:
                del self.crash_times[next(iter(self.crash_times))]

    def refuses(self, digest: str) -> bool:
        """Tell whether the request has crashed too many targets."""
        with self.lock:
            seen = self.crash_times.get(digest)
            if not seen:
                return False
            oldest = self.clock.monotonic() - ENTRY_LIFETIME_S
            if max(seen.values()) < oldest:
                del self.crash_times[digest]
                return False
            return len(seen) >= REFUSAL_CRASH_COUNT

    def snapshot(self) -> dict[str, list[str]]:
        """Return crashes by request digest, to be told to peers."""
        with self.lock:
            return {
                digest: sorted(seen)
                for digest, seen in self.crash_times.items()
            }

    def merge_peer_report(self, reported: dict[str, list[str]]) -> None:
        """Add the crashes that a peer has seen."""
        for digest, targets in reported.items():
            for target in targets:
                self.record_crash(digest, target)
