"""What one client connection holds, and how it gets on."""

from collections.abc import Callable
import enum

import attrs

__all__ = ['Holding', 'Part']

# Progress that counts: a client that sends or takes less than this now and
# then is as one that stands still.
PROGRESS_BYTES = 32_768

# Bodies, responses and jobs up to this size are not counted.
FREE_PART_BYTES = 65_536


class Part(enum.Enum):
    """What memory is held for."""

    CONNECTION = 'connection'
    THREAD = 'thread'
    HEAD = 'head'
    BODY = 'body'
    JOB = 'job'
    ANSWER = 'answer'


@attrs.define(eq=False)
class Holding:
    """Memory held for one connection, and the time it makes others wait.

    Guarded by the lock of its `ClientBudget`.

    Attributes
    ----------
    close : callable
        Shuts the connection down, from any thread.
    held : dict of Part to int
        Memory in bytes by what it is held for.
    has_thread : bool
        Whether a thread serves the connection.
    has_asked : bool
        Whether a whole request has come on it.
    is_closing : bool
        True once the connection was shut down to free what it holds.
    waiting_since : float or None
        Monotonic time in seconds since which the daemon waits for the client,
        ``None`` while it is the client that waits.
    waited_s : float
        Seconds of earlier waits since progress that counts.
    moved_bytes : int
        Bytes sent or taken in these waits.
    """

    close: Callable[[], None]
    held: dict[Part, int] = attrs.field(factory=dict)
    has_thread: bool = False
    has_asked: bool = False
    is_closing: bool = False
    waiting_since: float | None = None
    waited_s: float = 0.0
    moved_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Memory held for the connection."""
        return sum(self.held.values())

    def stalled_s(self, now: float) -> float:
        """Return the seconds waited for the client since its progress."""
        if self.waiting_since is None:
            return 0.0
        return self.waited_s + now - self.waiting_since

    def end_wait(self, now: float, moved_bytes: int) -> None:
        """Record that the client has sent or taken so many bytes."""
        if self.waiting_since is not None:
            self.waited_s += now - self.waiting_since
            self.waiting_since = None
        self.moved_bytes += moved_bytes
        if self.moved_bytes >= PROGRESS_BYTES:
            self.restart()

    def restart(self) -> None:
        """Forget earlier waits, after progress that counts."""
        self.moved_bytes = 0
        self.waited_s = 0.0
