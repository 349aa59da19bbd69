"""Cancels a request whose result nobody waits for any more."""

import logging
import socket
import threading

import urllib3.connection

from chestnutshunt import errors

__all__ = ['CallerLeft', 'CancelToken']

# The logger's name is printed; it keeps its earlier form for log filters.
LOG = logging.getLogger('chestnutshunt_daemon.targets.cutter')


class CallerLeft(errors.ChestnutshuntError):
    """The request was cancelled, as nobody waits for the response."""

    kind = 'caller_left'
    status = 502
    remedy = 'Send the request again if its answer is still wanted.'


class CancelToken:
    """Holds the connections of a request, to shut them down on `cancel`.

    Thread-safe.
    """

    def __init__(self) -> None:
        self.cancelled = threading.Event()
        self.connections: list[urllib3.connection.HTTPConnection] = []
        self.lock = threading.Lock()

    def register(self, connection: urllib3.connection.HTTPConnection) -> None:
        """Add a connection; raises `CallerLeft` if already cancelled."""
        with self.lock:
            self.connections.append(connection)
        if self.cancelled.is_set():
            raise CallerLeft(
                'The caller disconnected before the request was sent.'
            )

    def unregister(
        self, connection: urllib3.connection.HTTPConnection
    ) -> None:
        """Remove a connection that is no longer used."""
        with self.lock:
            if connection in self.connections:
                self.connections.remove(connection)

    def cancel(self) -> None:
        """Shut the connections down, which wakes the threads that read."""
        self.cancelled.set()
        with self.lock:
            for connection in self.connections:
                shut_down(connection.sock)


def shut_down(sock: socket.socket | None) -> None:
    """Shut a socket down in both directions, if it is open."""
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError as exc:
        LOG.debug(
            'Could not shut a connection down, as it was closed: %r', exc
        )
