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
PROBATION_S = 5.0

Crashes = dict[str, dict[str, float]]


class Quarantine:
    """Records which targets each request crashed, by request digest.

    Only crashes since the request was last served count: one that is often at
    some target when a target crashes is not the cause. Thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock for the age of entries.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.crash_times: Crashes = {}
        self.served_times: dict[str, float] = {}
        self.lock = threading.Lock()

    def record_crash(
        self, digest: str, target: str, age_s: float = 0.0
    ) -> None:
        """Record that a target crashed while it ran the request.

        Parameters
        ----------
        digest : str
            Digest of the request.
        target : str
            Target that crashed.
        age_s : float, optional
            Seconds since the crash.
        """
        crashed_at = self.clock.monotonic() - age_s
        with self.lock:
            if crashed_at <= self.served_times.get(digest, float('-inf')):
                return
            times_by_target = self.crash_times.setdefault(digest, {})
            times_by_target.setdefault(target, crashed_at)
            while len(self.crash_times) > MAX_DIGEST_COUNT:
                del self.crash_times[next(iter(self.crash_times))]

    def record_served(self, digest: str, age_s: float = 0.0) -> None:
        """Record that a target has served the request.

        Parameters
        ----------
        digest : str
            Digest of the request.
        age_s : float, optional
            Seconds since its response.
        """
        if age_s == 0.0 and digest not in self.crash_times:
            return
        served_at = self.clock.monotonic() - age_s
        with self.lock:
            known = self.served_times.pop(digest, served_at)
            served_at = max(served_at, known)
            self.served_times[digest] = served_at
            while len(self.served_times) > MAX_DIGEST_COUNT:
                del self.served_times[next(iter(self.served_times))]
            later = {
                target: at
                for target, at in self.crash_times.pop(digest, {}).items()
                if at > served_at
            }
            if later:
                self.crash_times[digest] = later

    def served_ages(self) -> dict[str, float]:
        """Return the seconds since requests with crashes were last served."""
        now = self.clock.monotonic()
        with self.lock:
            return {
                digest: now - at for digest, at in self.served_times.items()
            }

    def refuses(self, digest: str) -> bool:
        """Return whether the request has crashed too many targets."""
        now = self.clock.monotonic()
        with self.lock:
            times_by_target = self.crash_times.get(digest)
            if not times_by_target:
                return False
            latest = max(times_by_target.values())
            if latest < now - ENTRY_LIFETIME_S:
                del self.crash_times[digest]
                return False
            if count_waves(times_by_target) >= REFUSAL_CRASH_COUNT:
                return True
            return (
                len(times_by_target) >= REFUSAL_CRASH_COUNT
                and now - latest < PROBATION_S
            )

    def snapshot(self) -> Crashes:
        """Return the seconds since each crash by request digest and target."""
        now = self.clock.monotonic()
        with self.lock:
            return {
                digest: {
                    target: now - at
                    for target, at in sorted(times_by_target.items())
                }
                for digest, times_by_target in self.crash_times.items()
            }

    def merge_peer_report(self, reported: Crashes) -> None:
        """Merge the crashes in a snapshot of a peer."""
        for digest, ages_by_target in reported.items():
            for target, age_s in ages_by_target.items():
                self.record_crash(digest, target, age_s)


def count_waves(times_by_target: dict[str, float]) -> int:
    """Return the number of crashes that count; see `WAVE_S`."""
    count = 0
    began_at = float('-inf')
    for at in sorted(times_by_target.values()):
        if at - began_at >= WAVE_S:
            count += 1
            began_at = at
    return count
