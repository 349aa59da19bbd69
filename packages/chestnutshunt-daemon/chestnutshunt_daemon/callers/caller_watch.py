"""Notices callers that close their connection while they are served."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import select
import socket
import threading

__all__ = ['CallerWatch']

LOG = logging.getLogger(__name__)

POLL_S = 1.0
"""Seconds between two looks at whether the daemon stops."""

LEFT = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class CallerWatch:
    """One thread that waits for the end of many connections."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callable[[], None]] = {}
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='caller-watch', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Let the thread end."""
        self.stopped.set()

    @contextlib.contextmanager
    def on_disconnect(
        self, connection: socket.socket, callback: Callable[[], None]
    ) -> Iterator[None]:
        """Call back at most once if the caller leaves within the context."""
        number = connection.fileno()
        if number < 0:
            callback()
            yield
            return
        with self.lock:
            self.callbacks[number] = callback
            self.epoll.register(number, LEFT | select.EPOLLONESHOT)
        try:
            yield
        finally:
            with self.lock:
                self.callbacks.pop(number, None)
                with contextlib.suppress(OSError, ValueError):
                    # Closed meanwhile, which has unregistered it.
                    self.epoll.unregister(number)

    def run(self) -> None:
        """Wait for connections to end until stopped."""
        while not self.stopped.is_set():
            for number, _ in self.epoll.poll(POLL_S):
                with self.lock:
                    callback = self.callbacks.pop(number, None)
                if callback is not None:
                    callback()
