"""Cheroot HTTP servers as context managers."""

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

# Longest silence of a connection, between requests and within one.
IDLE_TIMEOUT_S = 30

MAX_HEADER_BYTES = 65_536
# Upper bound of every max_body_bytes; a larger body is never read.
MAX_BODY_BYTES = 67_108_864

BACKLOG_COUNT = 256
KEEP_ALIVE_COUNT = 1024


class HeaderReader(server.HeaderReader):
    """Rejects a first header line that starts with whitespace.

    Cheroot raises UnboundLocalError for such a continuation line that has no
    header before it.
    """

    def __call__(self, rfile: Any, hdict: dict | None = None) -> dict:
        """Read the headers; a `ValueError` leads to status 400."""
        try:
            return super().__call__(rfile, hdict)
        except UnboundLocalError as exc:
            raise ValueError(
                'The first header line starts with whitespace.'
            ) from exc


class Request(server.HTTPRequest):
    """HTTP request that uses `HeaderReader`."""

    header_reader = HeaderReader()


class Connection(server.HTTPConnection):
    """HTTP connection that uses `Request`."""

    RequestHandlerClass = Request


class LoggingServer(server.HTTPServer):
    """HTTP server that reports its errors to the logger."""

    ConnectionClass = Connection

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Log unexpected errors with traceback, other messages as debug."""
        if traceback:
            LOG.error('%s', msg, exc_info=True)
        else:
            LOG.debug('%s', msg)


class Server(LoggingServer, wsgi.Server):
    """WSGI server that reports its errors to the logger."""


@contextlib.contextmanager
def serving(
    httpd: server.HTTPServer, address: str, name: str
) -> Iterator[server.HTTPServer]:
    """Run a server in a thread until the context ends.

    Parameters
    ----------
    httpd : HTTPServer
        Server that has not been started.
    address : str
        ``IP:PORT`` that it listens on.
    name : str
        Setting of the address, for the error; also the name of the thread.
    """
    try:
        httpd.prepare()
    except OSError as exc:
        raise settings.address_unavailable('settings', name, address) from exc
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
    """Serve a WSGI application until the context ends.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    application : callable
        WSGI application.
    threads : int
        Number of worker threads.
    name : str
        Setting of the address, for the error; also the name of the thread.
    """
    host, _, port = address.rpartition(':')
    httpd = Server(
        (host, int(port)),
        application,
        numthreads=threads,
        request_queue_size=BACKLOG_COUNT,
        timeout=IDLE_TIMEOUT_S,
        shutdown_timeout=1,
    )
    httpd.keep_alive_conn_limit = KEEP_ALIVE_COUNT
    httpd.max_request_body_size = MAX_BODY_BYTES
    httpd.max_request_header_size = MAX_HEADER_BYTES
    with serving(httpd, address, name):
        yield httpd
