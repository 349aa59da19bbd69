"""Detects callers that close their connection during a request."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import select
import socket
import threading

__all__ = ['CallerWatch']

LOG = logging.getLogger(__name__)

# Longest time from `stop` to the end of the thread.
POLL_TIMEOUT_S = 1.0

HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class CallerWatch:
    """One thread that waits for many connections to be closed.

    Thread-safe; callbacks run in the watching thread.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callable[[], None]] = {}
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='caller-watch', daemon=True
        )

    def start(self) -> None:
        """Start the watching thread."""
        self.thread.start()

    def stop(self) -> None:
        """Ask the thread to end; it does so within `POLL_TIMEOUT_S`."""
        self.stopped.set()

    @contextlib.contextmanager
    def on_disconnect(
        self, connection: socket.socket, callback: Callable[[], None]
    ) -> Iterator[None]:
        """Call back at most once if the caller disconnects in the context."""
        descriptor = connection.fileno()
        if descriptor < 0:
            callback()
            yield
            return
        with self.lock:
            self.callbacks[descriptor] = callback
            self.epoll.register(
                descriptor, HANGUP_EVENTS | select.EPOLLONESHOT
            )
        try:
            yield
        finally:
            with self.lock:
                self.callbacks.pop(descriptor, None)
                with contextlib.suppress(OSError, ValueError):
                    # A socket that was closed is already unregistered.
                    self.epoll.unregister(descriptor)

    def run(self) -> None:
        """Run the callbacks of closed connections until stopped."""
        while not self.stopped.is_set():
            for descriptor, _ in self.epoll.poll(POLL_TIMEOUT_S):
                with self.lock:
                    callback = self.callbacks.pop(descriptor, None)
                if callback is not None:
                    callback()
