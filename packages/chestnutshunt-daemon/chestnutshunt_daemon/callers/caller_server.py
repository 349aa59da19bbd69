"""HTTP server for callers, with access to their connections."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import http
import logging
import threading

from cheroot import server

from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt_daemon.callers import caller_request
from chestnutshunt_daemon.callers import caller_response
from chestnutshunt_daemon import http_server

__all__ = ['CallerServer', 'caller_server']

LOG = logging.getLogger(__name__)

BACKLOG = 512
KEPT_CONNECTIONS = 2000
"""Idle connections of callers; half of the descriptors of a small VM."""

IDLE_S = 30.0
"""Seconds, until the operator's limit is known."""

IDLE_MARGIN_S = 2.0
"""Seconds beyond the operator's limit, so that a caller that reuses a
connection in time does not meet its end."""

Handler = Callable[
    [caller_request.CallerRequest], caller_response.CallerResponse
]


class Gateway(server.Gateway):
    """Hands one request to the handler and writes its answer."""

    def respond(self) -> None:
        """Read the body, call the handler, write the answer."""
        request = self.req
        holder = request.server
        try:
            body = request.rfile.read()
        except (OSError, ValueError) as exc:
            LOG.info('A body could not be read: %r', exc)
            request.close_connection = True
            return
        made = caller_request.CallerRequest(
            method=request.method.decode('latin-1'),
            target=request.uri.decode('latin-1'),
            headers={
                name.decode('latin-1').lower(): value.decode('latin-1')
                for name, value in request.inheaders.items()
            },
            body=body,
            connection=request.conn.socket,
            arrived_at=holder.clock.monotonic(),
        )
        with holder.count_request():
            self.write(holder.handler(made), holder)

    def write(
        self, answer: caller_response.CallerResponse, holder: 'CallerServer'
    ) -> None:
        """Write an answer; a stream that fails closes the connection."""
        request = self.req
        phrase = http.HTTPStatus(answer.status).phrase
        request.status = f'{answer.status} {phrase}'.encode()
        request.outheaders = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in answer.headers
        ]
        if holder.draining.is_set():
            request.close_connection = True
        if answer.stream is None:
            length = str(len(answer.body)).encode()
            request.outheaders.append((b'Content-Length', length))
            request.ensure_headers_sent()
            if answer.body and request.method != b'HEAD':
                request.write(answer.body)
            return
        request.ensure_headers_sent()
        try:
            with contextlib.closing(answer.stream):
                for data in answer.stream:
                    request.write(data)
        except errors.ChestnutshuntError as exc:
            LOG.info('A stream broke off: %s', exc)
            request.chunked_write = False
            request.close_connection = True


class CallerServer(http_server.LoggingServer):
    """Server whose requests are counted, so that it can drain."""

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        threads: int,
        source: clock.Clock,
    ) -> None:
        super().__init__(address, Gateway, minthreads=threads)
        self.handler = handler
        self.clock = source
        self.request_queue_size = BACKLOG
        self.timeout = IDLE_S
        self.keep_alive_conn_limit = KEPT_CONNECTIONS
        self.shutdown_timeout = 1
        self.draining = threading.Event()
        self.in_flight = 0
        self.lock = threading.Lock()

    def apply_limits(
        self, idle_s: float, header_bytes: int, body_bytes: int
    ) -> None:
        """Take over the operator's limits for new connections."""
        self.timeout = idle_s + IDLE_MARGIN_S
        self.max_request_header_size = header_bytes
        self.max_request_body_size = body_bytes

    @contextlib.contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request that is being served."""
        with self.lock:
            self.in_flight += 1
        try:
            yield
        finally:
            with self.lock:
                self.in_flight -= 1


@contextlib.contextmanager
def caller_server(
    address: str, handler: Handler, threads: int, source: clock.Clock
) -> Iterator[CallerServer]:
    """Serve callers until the context ends.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    handler : callable
        Answers one request; called in many threads.
    threads : int
        Requests served at one time.
    clock : Clock
        Clock for the arrival of requests.
    """
    host, _, port = address.rpartition(':')
    made = CallerServer((host, int(port)), handler, threads, source)
    with http_server.serving(made, address, 'caller_address'):
        yield made
