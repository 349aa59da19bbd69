"""Origins of the streams that callers may take up again."""

from collections.abc import Container
from collections.abc import Mapping
import itertools
import threading

from chestnutshunt import clock
from chestnutshunt.streams import stream_origin

__all__ = ['ORIGIN_TTL_S', 'RENEWAL_S', 'OriginTable']

# Longest time after its end for which a caller may take a stream up again.
ORIGIN_TTL_S = 60.0

# Time between two records of the origin of a stream that is still running.
RENEWAL_S = 15.0

MAX_STREAM_COUNT = 100_000


class OriginTable:
    """Keeps the origin of each stream by the request that began it.

    Thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock for the age of entries.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.entries: dict[str, tuple[float, stream_origin.StreamOrigin]] = {}
        self.lock = threading.Lock()

    def record(
        self, request_id: str, origin: stream_origin.StreamOrigin
    ) -> None:
        """Record the origin of a stream, or that it is still in use."""
        now = self.clock.monotonic()
        with self.lock:
            # The entries stay in the order of their last use.
            self.entries.pop(request_id, None)
            self.entries[request_id] = (now, origin)
            oldest_at = now - ORIGIN_TTL_S
            while self.entries:
                first = next(iter(self.entries))
                expired = self.entries[first][0] < oldest_at
                if not expired and len(self.entries) <= MAX_STREAM_COUNT:
                    break
                del self.entries[first]

    def find(self, request_id: str) -> stream_origin.StreamOrigin | None:
        """Return the origin of a stream, ``None`` if it is not known."""
        with self.lock:
            recorded_at, origin = self.entries.get(request_id, (0.0, None))
        if self.clock.monotonic() - recorded_at > ORIGIN_TTL_S:
            return None
        return origin

    def oldest(
        self, services: Container[str], count: int
    ) -> dict[str, tuple[float, stream_origin.StreamOrigin]]:
        """Return the entries of some services that were used least lately.

        Parameters
        ----------
        services : container of str
            The services.
        count : int
            Most entries to return.

        Returns
        -------
        dict of str to tuple of float and StreamOrigin
            Time of the last use and origin, by request.
        """
        with self.lock:
            matching = (
                (request_id, entry)
                for request_id, entry in self.entries.items()
                if entry[1].service in services
            )
            return dict(itertools.islice(matching, count))

    def discard(
        self, entries: Mapping[str, tuple[float, stream_origin.StreamOrigin]]
    ) -> None:
        """Remove entries that have not been used since they were read."""
        with self.lock:
            for request_id, entry in entries.items():
                if self.entries.get(request_id) == entry:
                    del self.entries[request_id]

    def __len__(self) -> int:
        return len(self.entries)
