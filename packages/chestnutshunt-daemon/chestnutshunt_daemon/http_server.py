"""Cheroot servers that end with their context."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import threading

from cheroot import wsgi

from chestnutshunt import errors

__all__ = ['http_server']

LOG = logging.getLogger(__name__)

IDLE_TIMEOUT = 30
"""Seconds a connection may be silent before a request or within one."""

MAX_HEADER_BYTES = 65_536
BACKLOG = 256
KEPT_CONNECTIONS = 1024


class Server(wsgi.Server):
    """Sends the server's own messages to the log."""

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Log a message of the server, and fully what it did not expect."""
        if traceback:
            LOG.error('%s', msg, exc_info=True)
        else:
            LOG.debug('%s', msg)


@contextlib.contextmanager
def http_server(
    address: str, application: Callable, threads: int, name: str
) -> Iterator[Server]:
    """Serve an application until the context ends.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    application : callable
        WSGI application.
    threads : int
        Connections served at one time.
    name : str
        Setting that holds the address, for the error.
    """
    host, _, port = address.rpartition(':')
    server = Server(
        (host, int(port)),
        application,
        numthreads=threads,
        request_queue_size=BACKLOG,
        timeout=IDLE_TIMEOUT,
        shutdown_timeout=1,
    )
    server.keep_alive_conn_limit = KEPT_CONNECTIONS
    server.max_request_header_size = MAX_HEADER_BYTES
    try:
        server.prepare()
    except OSError as exc:
        raise errors.BadSetting(
            'settings',
            name,
            address,
            'cannot be listened on',
            'Choose an address that is free on this VM.',
        ) from exc
    thread = threading.Thread(target=server.serve, name=name, daemon=True)
    thread.start()
    try:
        yield server
    finally:
        server.stop()
        thread.join(2)
