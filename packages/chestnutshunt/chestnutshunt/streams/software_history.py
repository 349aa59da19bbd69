"""Software versions that the targets of each service have run lately."""

from collections.abc import Iterable
import threading

from chestnutshunt import clock
from chestnutshunt.streams import origin_table
from chestnutshunt.streams import stream_origin

__all__ = ['SoftwareHistory']

# A stream begins at a new software version only this long after a daemon has
# seen the version, if there are others: by then every daemon whose
# registrations are not older than `MAX_REGISTRATION_AGE_S` has seen it, too.
SETTLE_S = 2.0
MAX_REGISTRATION_AGE_S = 1.5


class SoftwareHistory:
    """Remembers when targets of each origin were registered.

    Thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock for the times.

    Attributes
    ----------
    present : frozenset of StreamOrigin
        Origins of the registered targets.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.started_at = clock.monotonic()
        self.present: frozenset[stream_origin.StreamOrigin] = frozenset()
        self.first_at: dict[stream_origin.StreamOrigin, float] = {}
        self.left_at: dict[stream_origin.StreamOrigin, float] = {}
        self.lock = threading.Lock()

    def observe(self, origins: Iterable[stream_origin.StreamOrigin]) -> None:
        """Record which origins the registered targets have now."""
        now = self.clock.monotonic()
        with self.lock:
            present = frozenset(origins)
            for origin in self.present - present:
                self.left_at[origin] = now
            for origin in present:
                self.first_at.setdefault(origin, now)
                self.left_at.pop(origin, None)
            self.present = present
            self.drop_old(now)

    def recall(
        self, origin: stream_origin.StreamOrigin, left_at: float
    ) -> None:
        """Record an origin of which targets were registered until `left_at`.

        Parameters
        ----------
        origin : StreamOrigin
            Origin that another daemon has seen.
        left_at : float
            Monotonic time in seconds at which the last of them left.
        """
        with self.lock:
            if origin not in self.present:
                known = self.left_at.get(origin, left_at)
                self.left_at[origin] = max(known, left_at)

    def drop_old(self, now: float) -> None:
        """Forget origins that left long ago; needs the lock."""
        oldest_at = now - origin_table.ORIGIN_TTL_S
        for origin, at in list(self.left_at.items()):
            if at < oldest_at:
                del self.left_at[origin]
                self.first_at.pop(origin, None)

    def recent(
        self, services: Iterable[str]
    ) -> set[stream_origin.StreamOrigin]:
        """Return the origins that a stream of these services may have."""
        wanted = set(services)
        return {origin for origin in self.known() if origin.service in wanted}

    def known(self) -> set[stream_origin.StreamOrigin]:
        """Return all origins that a stream may have."""
        now = self.clock.monotonic()
        with self.lock:
            self.drop_old(now)
            return set(self.present | self.left_at.keys())

    def is_settled(self, origin: stream_origin.StreamOrigin) -> bool:
        """Return whether every daemon knows an origin by now."""
        first_at = self.first_at.get(origin)
        if first_at is None:
            return False
        return self.clock.monotonic() - first_at >= SETTLE_S

    def covers_all_streams(self) -> bool:
        """Return whether this daemon has run for longer than any stream."""
        age_s = self.clock.monotonic() - self.started_at
        return age_s >= origin_table.ORIGIN_TTL_S
