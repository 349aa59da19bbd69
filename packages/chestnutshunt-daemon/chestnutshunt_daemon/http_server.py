"""Cheroot servers that end with their context."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import threading
from typing import Any

from cheroot import server
from cheroot import wsgi

from chestnutshunt_daemon import settings

__all__ = ['LoggingServer', 'http_server', 'serving']

LOG = logging.getLogger(__name__)

IDLE_TIMEOUT = 30
"""Seconds a connection may be silent before a request or within one."""

MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 67_108_864
"""Largest body any service may allow; a larger one is never read."""

BACKLOG = 256
KEPT_CONNECTIONS = 1024


class HeaderReader(server.HeaderReader):
    """Refuses a first header line that continues none."""

    def __call__(self, rfile: Any, hdict: dict | None = None) -> dict:
        """Read header lines; a `ValueError` is answered by status 400."""
        try:
            return super().__call__(rfile, hdict)
        except UnboundLocalError as exc:
            raise ValueError('The first header line is indented.') from exc


class Request(server.HTTPRequest):
    """A request whose headers are read by `HeaderReader`."""

    header_reader = HeaderReader()


class Connection(server.HTTPConnection):
    """A connection that carries such requests."""

    RequestHandlerClass = Request


class LoggingServer(server.HTTPServer):
    """Sends the server's own messages to the log."""

    ConnectionClass = Connection

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Log a message of the server, and fully what it did not expect."""
        if traceback:
            LOG.error('%s', msg, exc_info=True)
        else:
            LOG.debug('%s', msg)


class Server(LoggingServer, wsgi.Server):
    """Server of a WSGI application."""


@contextlib.contextmanager
def serving(
    httpd: server.HTTPServer, address: str, name: str
) -> Iterator[server.HTTPServer]:
    """Let a server serve until the context ends.

    Parameters
    ----------
    httpd : HTTPServer
        The server.
    address : str
        ``IP:PORT`` that it listens on.
    name : str
        Setting that holds the address, for the error.
    """
    try:
        httpd.prepare()
    except OSError as exc:
        raise settings.address_taken('settings', name, address) from exc
    thread = threading.Thread(target=httpd.serve, name=name, daemon=True)
    thread.start()
    try:
        yield httpd
    finally:
        httpd.stop()
        thread.join(2)


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
    made = Server(
        (host, int(port)),
        application,
        numthreads=threads,
        request_queue_size=BACKLOG,
        timeout=IDLE_TIMEOUT,
        shutdown_timeout=1,
    )
    made.keep_alive_conn_limit = KEPT_CONNECTIONS
    made.max_request_body_size = MAX_BODY_BYTES
    made.max_request_header_size = MAX_HEADER_BYTES
    with serving(made, address, name):
        yield made
