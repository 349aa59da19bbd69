"""One budget for all that the clients of a daemon hold."""

from collections.abc import Callable
import contextlib
import logging
import resource
import threading

from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt import system_clock
from chestnutshunt_daemon.clients import holding

__all__ = ['ClientBudget']

LOG = logging.getLogger(__name__)

# Memory for the objects of a connection and for what its client has sent and
# nobody has read.
CONNECTION_BYTES = 32_768

# Memory of a thread, and of what its client sends ahead meanwhile.
THREAD_BYTES = 131_072

# Parts of the memory for connections and for threads that wait for clients.
CONNECTION_RATIO = 0.5
THREAD_RATIO = 0.25

# Connections at most, and the part of the file descriptors for them.
MAX_CONNECTIONS_COUNT = 2000
DESCRIPTOR_RATIO = 0.5

MAX_WAITING_THREADS_COUNT = 128
MIN_WAITING_THREADS_COUNT = 8

# Time without progress after which a client may be closed for others.
STALL_S = 0.5

# Longest wait for memory; clients that stall give theirs up within it.
MEMORY_WAIT_S = 2.0
POLL_S = 0.1

RETRY_AFTER_S = 1.0


class ClientBudget:
    """Memory, connections and threads of clients; thread-safe.

    What is short is taken from the client that holds the most for the least
    progress, by closing its connection. Connections that wait for the daemon
    are never closed for others.

    Parameters
    ----------
    limit_bytes : int
        Memory for all that clients hold.
    clock : Clock, optional
        Clock of their progress.

    Attributes
    ----------
    reserved_bytes : callable
        Returns the part of the memory that accepted work takes.
    on_closed : callable
        Called, with the lock held, when a client was closed for others; its
        argument is what was short.
    """

    def __init__(
        self, limit_bytes: int, clock: clock.Clock | None = None
    ) -> None:
        self.limit_bytes = limit_bytes
        self.clock = clock or system_clock.SystemClock()
        self.used_bytes = 0
        self.reserved_bytes: Callable[[], int] = lambda: 0
        self.on_closed: Callable[[str], None] = lambda short: None
        self.holdings: set[holding.Holding] = set()
        self.condition = threading.Condition()

    @property
    def max_connections(self) -> int:
        """Connections that may be open at one time."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return min(
            MAX_CONNECTIONS_COUNT,
            int(DESCRIPTOR_RATIO * descriptors),
            int(CONNECTION_RATIO * self.limit_bytes / CONNECTION_BYTES),
        )

    @property
    def max_waiting_threads(self) -> int:
        """Threads that may wait for clients beside those that serve."""
        fitting = int(THREAD_RATIO * self.limit_bytes / THREAD_BYTES)
        return min(
            max(fitting, MIN_WAITING_THREADS_COUNT), MAX_WAITING_THREADS_COUNT
        )

    def open(self, close: Callable[[], None]) -> holding.Holding | None:
        """Return the holding of a new connection, ``None`` if none fits.

        Parameters
        ----------
        close : callable
            Shuts the connection down; called from any thread, with the lock
            of the budget held.
        """
        with self.condition:
            excess = len(self.holdings) + 1 - self.max_connections
            excess -= sum(other.is_closing for other in self.holdings)
            if excess > 0 and not self.close_worst_idle():
                return None
            opened = holding.Holding(close)
            opened.held[holding.Part.CONNECTION] = CONNECTION_BYTES
            self.used_bytes += CONNECTION_BYTES
            self.holdings.add(opened)
            return opened

    def close(self, ended: holding.Holding) -> None:
        """Give back all that a closed connection held."""
        with self.condition:
            if ended in self.holdings:
                self.holdings.remove(ended)
                self.used_bytes -= ended.held_bytes
                self.condition.notify_all()

    def cover(
        self,
        holder: holding.Holding,
        part: holding.Part,
        wanted_bytes: int,
        wait_s: float = MEMORY_WAIT_S,
    ) -> None:
        """Hold so much memory for a part, more or less than before.

        Parameters
        ----------
        holder : Holding
            Connection that the memory is for.
        part : Part
            What it is for.
        wanted_bytes : int
            All the memory for the part.
        wait_s : float, optional
            Longest time to wait for memory, in seconds.

        Raises
        ------
        OutOfMemory
            The memory does not suffice.
        """
        with self.condition:
            end_at = self.clock.monotonic() + wait_s
            while True:
                added_bytes = wanted_bytes - holder.held.get(part, 0)
                if added_bytes <= 0:
                    break
                missing = self.used_bytes + added_bytes - self.limit_bytes
                missing += self.reserved_bytes()
                if missing <= 0:
                    break
                left_s = end_at - self.clock.monotonic()
                if wanted_bytes > self.limit_bytes or left_s <= 0:
                    raise errors.OutOfMemory(
                        f'A client needs {wanted_bytes} bytes, more memory '
                        'than is left.',
                        retry_after_s=RETRY_AFTER_S,
                    )
                self.free_memory(missing)
                self.condition.wait(min(left_s, POLL_S))
            holder.held[part] = wanted_bytes
            self.used_bytes += added_bytes
            if added_bytes < 0:
                self.condition.notify_all()

    def begin_wait(self, holder: holding.Holding) -> None:
        """Record that the daemon waits for a client from now on."""
        with self.condition:
            holder.waiting_since = self.clock.monotonic()

    def end_wait(self, holder: holding.Holding, moved_bytes: int) -> None:
        """Record what a client has sent or taken."""
        with self.condition:
            holder.end_wait(self.clock.monotonic(), moved_bytes)

    def begin_request(self, holder: holding.Holding) -> None:
        """Record that a whole head has come: what was waited for it ends."""
        with self.condition:
            holder.has_asked = True
            holder.has_thread = True
            if holding.Part.THREAD not in holder.held:
                holder.held[holding.Part.THREAD] = THREAD_BYTES
                self.used_bytes += THREAD_BYTES
            holder.waiting_since = None
            holder.restart()

    def end_request(self, holder: holding.Holding) -> None:
        """Give back what a request held, but not its connection."""
        with self.condition:
            holder.has_thread = False
            holder.waiting_since = None
            holder.restart()
            for part in list(holder.held):
                if part is not holding.Part.CONNECTION:
                    self.used_bytes -= holder.held.pop(part)
            self.condition.notify_all()

    def stalled(
        self, min_s: float = STALL_S
    ) -> list[tuple[holding.Holding, float]]:
        """Return the clients that stall, with the seconds they do."""
        now = self.clock.monotonic()
        waits = [
            (other, other.stalled_s(now))
            for other in self.holdings
            if other.waiting_since is not None and not other.is_closing
        ]
        return [(other, wait_s) for other, wait_s in waits if wait_s >= min_s]

    def free_memory(self, missing_bytes: int) -> None:
        """Close the worst clients until enough memory will be free.

        Connections without a request are closed only if that suffices.
        """
        missing_bytes -= sum(
            other.held_bytes for other in self.holdings if other.is_closing
        )
        stalled = self.stalled()
        if sum(other.held_bytes for other, _ in stalled) < missing_bytes:
            stalled = [x for x in stalled if x[0].has_thread]
        stalled.sort(key=lambda entry: entry[0].held_bytes * entry[1])
        while missing_bytes > 0 and stalled:
            worst, wait_s = stalled.pop()
            missing_bytes -= worst.held_bytes
            self.close_holder(worst, 'memory', wait_s)

    def free_threads(self, count: int) -> None:
        """Close the clients that threads have waited for the longest."""
        with self.condition:
            count -= sum(
                other.is_closing and other.has_thread
                for other in self.holdings
            )
            stalled = [x for x in self.stalled() if x[0].has_thread]
            stalled.sort(key=lambda entry: entry[1])
            for worst, wait_s in stalled[::-1][: max(count, 0)]:
                self.close_holder(worst, 'threads', wait_s)

    def close_worst_idle(self) -> bool:
        """Close one connection for a new one; return False if none stalls.

        Those on which no request has come yet are closed first.
        """
        silent = [x for x in self.stalled(0.0) if not x[0].has_asked]
        candidates = silent or self.stalled()
        if not candidates:
            return False
        worst, wait_s = max(candidates, key=lambda entry: entry[1])
        self.close_holder(worst, 'connections', wait_s)
        return True

    def close_holder(
        self, worst: holding.Holding, short: str, wait_s: float
    ) -> None:
        """Shut down the connection of a client that stalls."""
        worst.is_closing = True
        LOG.warning(
            'Client closed for others',
            extra={
                'short_of': short,
                'held_bytes': worst.held_bytes,
                'stalled_s': round(wait_s, 3),
                'used_bytes': self.used_bytes,
                'connections': len(self.holdings),
            },
        )
        self.on_closed(short)
        with contextlib.suppress(OSError):
            worst.close()

    def dump(self) -> dict[str, int]:
        """Return what is held as JSON values."""
        with self.condition:
            return {
                'connections': len(self.holdings),
                'max_connections': self.max_connections,
                'held_bytes': self.used_bytes,
                'jobs_bytes': self.reserved_bytes(),
                'limit_bytes': self.limit_bytes,
                'with_thread': sum(x.has_thread for x in self.holdings),
                'waited_for': len(self.stalled(0.0)),
            }
