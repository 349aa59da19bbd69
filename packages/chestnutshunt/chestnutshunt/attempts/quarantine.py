"""Quarantine of requests that crash targets, shared by all daemons."""

import threading

from chestnutshunt import clock

__all__ = ['Quarantine']

REFUSAL_CRASH_COUNT = 2

# Time since the latest crash of another target after which a request is
# accepted again.
ENTRY_LIFETIME_S = 3600.0

MAX_DIGEST_COUNT = 10_000

# Crashes of one request within this time of each other count once: targets
# that fall together, as with their host, were not brought down by a request
# that had just moved from one to the other.
WAVE_S = 0.25

# Time for which a request whose crashes counted once is refused: it may be the
# cause after all. Another crash after that counts.
PROBATION_S = 2.0


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
        self.wave_times: dict[str, float] = {}
        self.lock = threading.Lock()

    def record_crash(self, digest: str, target: str) -> None:
        """Record that a target crashed while it ran the request.

        A crash within `WAVE_S` of another one of the same request is no
        evidence of its own; it only has the request refused for a while.
        """
        now = self.clock.monotonic()
        with self.lock:
            earlier = self.crash_times.get(digest, {}).values()
            if any(now - at < WAVE_S for at in earlier):
                self.wave_times[digest] = now
                return
            self.add(digest, target, now)

    def add(self, digest: str, target: str, at: float) -> None:
        """Add a crash at a monotonic time in seconds; needs the lock."""
        times_by_target = self.crash_times.setdefault(digest, {})
        times_by_target.setdefault(target, at)
        while len(self.crash_times) > MAX_DIGEST_COUNT:
            dropped = next(iter(self.crash_times))
            del self.crash_times[dropped]
            self.wave_times.pop(dropped, None)

    def refuses(self, digest: str) -> bool:
        """Return whether the request has crashed too many targets."""
        with self.lock:
            times_by_target = self.crash_times.get(digest)
            if not times_by_target:
                return False
            wave_at = self.wave_times.get(digest, float('-inf'))
            if self.clock.monotonic() - wave_at < PROBATION_S:
                return True
            self.wave_times.pop(digest, None)
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
        """Merge the crashes that a peer counts."""
        now = self.clock.monotonic()
        with self.lock:
            for digest, targets in reported.items():
                for target in targets:
                    self.add(digest, target, now)
