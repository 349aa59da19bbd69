"""Quarantine of requests that crash targets, shared by all daemons."""

import threading

from chestnutshunt import clock

__all__ = ['Quarantine']

REFUSAL_CRASH_COUNT = 2

# Time since the latest crash of another target after which a request is
# accepted again.
ENTRY_LIFETIME_S = 3600.0

MAX_DIGEST_COUNT = 10_000


class Quarantine:
    """Records which targets each request crashed, by request digest.

    Thread-safe.

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
        """Record that a target crashed while it ran the request."""
        with self.lock:
            times_by_target = self.crash_times.setdefault(digest, {})
            times_by_target.setdefault(target, self.clock.monotonic())
            while len(self.crash_times) > MAX_DIGEST_COUNT:
                del self.crash_times[next(iter(self.crash_times))]

    def refuses(self, digest: str) -> bool:
        """Return whether the request has crashed too many targets."""
        with self.lock:
            times_by_target = self.crash_times.get(digest)
            if not times_by_target:
                return False
            oldest = self.clock.monotonic() - ENTRY_LIFETIME_S
            if max(times_by_target.values()) < oldest:
                del self.crash_times[digest]
                return False
            return len(times_by_target) >= REFUSAL_CRASH_COUNT

    def snapshot(self) -> dict[str, list[str]]:
        """Return the crashed targets by request digest, for heartbeats."""
        with self.lock:
            return {
                digest: sorted(times_by_target)
                for digest, times_by_target in self.crash_times.items()
            }

    def merge_peer_report(self, reported: dict[str, list[str]]) -> None:
        """Merge the crashes that a peer reported."""
        for digest, targets in reported.items():
            for target in targets:
                self.record_crash(digest, target)
