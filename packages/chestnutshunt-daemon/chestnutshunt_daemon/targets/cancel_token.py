"""Cuts off the connections of a request that nobody waits for."""

import logging
import socket
import threading

import urllib3.connection

from chestnutshunt import errors

__all__ = ['CallerLeft', 'CancelToken']

# The logger's name is printed; it keeps its earlier form for log filters.
LOG = logging.getLogger('chestnutshunt_daemon.targets.cutter')


class CallerLeft(errors.ChestnutshuntError):
    """Nobody waits for the answer any more."""

    kind = 'caller_left'
    status = 502
    remedy = 'Send the request again if its answer is still wanted.'


class CancelToken:
    """Knows the connections in use and shuts them from another thread."""

    def __init__(self) -> None:
        self.cancelled = threading.Event()
        self.connections: list[urllib3.connection.HTTPConnection] = []
        self.lock = threading.Lock()

    def register(self, connection: urllib3.connection.HTTPConnection) -> None:
        """Note a connection; raises `CallerLeft` if it is too late."""
        with self.lock:
            self.connections.append(connection)
        if self.cancelled.is_set():
            raise CallerLeft('The caller left before the request was sent.')

    def unregister(
        self, connection: urllib3.connection.HTTPConnection
    ) -> None:
        """Forget a connection that is no longer used."""
        with self.lock:
            if connection in self.connections:
                self.connections.remove(connection)

    def cancel(self) -> None:
        """Shut the connections in use, which wakes their readers."""
        self.cancelled.set()
        with self.lock:
            for connection in self.connections:
                shut(connection.sock)


def shut(sock: socket.socket | None) -> None:
    """Shut a socket both ways."""
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError as exc:
        LOG.debug('The connection was closed already: %r', exc)
