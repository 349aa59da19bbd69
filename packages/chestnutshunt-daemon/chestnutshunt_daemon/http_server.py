"""Cheroot HTTP servers as context managers."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import socket
import threading

from cheroot import server
from cheroot import wsgi

from chestnutshunt import clock
from chestnutshunt import system_clock
from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_daemon.clients import client_connection
from chestnutshunt_daemon.clients import client_socket
from chestnutshunt_daemon.clients import connection_intake
from chestnutshunt_daemon.clients import worker_pool
from chestnutshunt_daemon import settings

__all__ = ['BudgetServer', 'http_server', 'serving']

LOG = logging.getLogger(__name__)

# Longest silence of a connection, between requests and within one.
IDLE_TIMEOUT_S = 30

# Time in which a head must arrive whole.
HEADER_TIMEOUT_S = 10.0

# Time between two looks for connections that are overdue.
EXPIRATION_INTERVAL_S = 0.25

MAX_HEADER_BYTES = 65_536
# Upper bound of every max_body_bytes; a larger body is never read.
MAX_BODY_BYTES = 67_108_864

BACKLOG_COUNT = 256


class BudgetServer(server.HTTPServer):
    """HTTP server whose clients share a budget with those of others.

    `budget`, `clock` and `places`, the number of connections that are served
    at one time, are set before it is prepared.
    """

    ConnectionClass = client_connection.ClientConnection

    budget: client_budget.ClientBudget
    clock: clock.Clock
    places: int
    header_timeout = HEADER_TIMEOUT_S

    def prepare(self) -> None:
        """Listen, and start the threads."""
        self.requests = worker_pool.WorkerPool(self, self.places, self.budget)
        self.keep_alive_conn_limit = self.budget.max_connections
        self.expiration_interval = EXPIRATION_INTERVAL_S
        super().prepare()
        # What a client sends ahead counts as memory of the process.
        self.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            client_socket.IDLE_BUFFER_BYTES,
        )
        self._connections.close()
        self._connections = connection_intake.ConnectionIntake(self)

    def process_conn(self, conn: client_connection.ClientConnection) -> None:
        """Watch a new connection, have another one served."""
        if conn.holder is None:
            LOG.warning('Connection refused, as none can be closed for it')
            conn.close()
        elif conn.is_new:
            conn.is_new = False
            self.put_conn(conn)
        else:
            self.budget.end_wait(conn.holder, 0)
            self.requests.put(conn)

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Log unexpected errors with traceback, other messages as debug."""
        if traceback:
            LOG.error('%s', msg, exc_info=True)
        else:
            LOG.debug('%s', msg)


class Server(BudgetServer, wsgi.Server):
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
    address: str,
    application: Callable,
    threads: int,
    name: str,
    budget: client_budget.ClientBudget,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Iterator[Server]:
    """Serve a WSGI application until the context ends.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    application : callable
        WSGI application.
    threads : int
        Requests served at one time.
    name : str
        Setting of the address, for the error; also the name of the thread.
    budget : ClientBudget
        Budget of its clients.
    max_body_bytes : int, optional
        Largest body of a request.
    """
    host, _, port = address.rpartition(':')
    httpd = Server(
        (host, int(port)),
        application,
        request_queue_size=BACKLOG_COUNT,
        timeout=IDLE_TIMEOUT_S,
        shutdown_timeout=1,
    )
    httpd.places = threads
    httpd.budget = budget
    httpd.clock = system_clock.SystemClock()
    httpd.max_request_body_size = max_body_bytes
    httpd.max_request_header_size = MAX_HEADER_BYTES
    with serving(httpd, address, name):
        yield httpd
