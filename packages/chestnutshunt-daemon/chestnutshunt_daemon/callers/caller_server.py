"""HTTP server for callers that gives handlers the connection."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import http.client
import logging
import threading

from cheroot import server

from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt_daemon.callers import body_budget
from chestnutshunt_daemon.callers import caller_request
from chestnutshunt_daemon.callers import caller_response
from chestnutshunt_daemon.callers import error_response
from chestnutshunt_daemon import http_server

__all__ = ['CallerServer', 'caller_server']

LOG = logging.getLogger(__name__)

LISTEN_BACKLOG_COUNT = 512

# Read at one time of a body in chunks, or of one that is not kept.
PART_BYTES = 65_536

# Memory for the bodies of requests in process, if not set.
DEFAULT_BODY_MEMORY_BYTES = 67_108_864

# Half of the file descriptors of a small VM.
MAX_IDLE_CONNECTIONS_COUNT = 2000

# Used until the operator's limit is known.
DEFAULT_IDLE_TIMEOUT_S = 30.0

# Added to the operator's limit, so that a connection isn't closed while a
# caller reuses it within the limit.
IDLE_MARGIN_S = 2.0

Handler = Callable[
    [caller_request.CallerRequest], caller_response.CallerResponse
]

# Returns the memory that a byte of a body takes, by host and path.
Weigh = Callable[[str, str], float]


class Gateway(server.Gateway):
    """Passes one request to the handler and writes its response."""

    def respond(self) -> None:
        """Read the body, call the handler and write the response."""
        request = self.req
        own_server = request.server
        headers = {
            name.decode('latin-1').lower(): value.decode('latin-1')
            for name, value in request.inheaders.items()
        }
        target = request.uri.decode('latin-1')
        weight = own_server.body_weight(
            headers.get('host', ''), target.partition('?')[0]
        )
        with own_server.budget.reserve(weight) as reservation:
            try:
                body = read_body(request, reservation)
            except (OSError, ValueError) as exc:
                LOG.info('Could not read the body of a request: %r', exc)
                request.close_connection = True
                return
            except errors.OutOfMemory as exc:
                LOG.warning(
                    'Request refused for its size',
                    extra={'path': target, 'error': exc.message},
                )
                request.close_connection = True
                response = error_response.error_response(exc)
                self.write(response, own_server)
                return
            incoming = caller_request.CallerRequest(
                method=request.method.decode('latin-1'),
                target=target,
                headers=headers,
                body=body,
                connection=request.conn.socket,
                arrived_at=own_server.clock.monotonic(),
            )
            with own_server.count_request():
                self.write(own_server.handler(incoming), own_server)

    def write(
        self,
        response: caller_response.CallerResponse,
        own_server: 'CallerServer',
    ) -> None:
        """Write a response; a stream that fails closes the connection."""
        request = self.req
        phrase = http.client.responses.get(response.status, '')
        request.status = f'{response.status} {phrase}'.encode()
        request.outheaders = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in response.headers
        ]
        if own_server.draining.is_set():
            request.close_connection = True
        if response.stream is None:
            length = str(len(response.body)).encode()
            request.outheaders.append((b'Content-Length', length))
            request.ensure_headers_sent()
            if response.body and request.method != b'HEAD':
                request.write(response.body)
            return
        request.ensure_headers_sent()
        try:
            with contextlib.closing(response.stream):
                for data in response.stream:
                    request.write(data)
        except errors.ChestnutshuntError as exc:
            LOG.info('The stream to a caller ended early: %s', exc)
            request.chunked_write = False
            request.close_connection = True


def read_body(
    request: server.HTTPRequest, reservation: body_budget.BodyReservation
) -> bytes:
    """Return the whole body.

    cheroot returns what has come when the connection ends. A body that does
    not fit is read to its end, as its caller reads no response before.

    Raises
    ------
    ValueError
        The caller ended the body early.
    OutOfMemory
        There is not enough memory for the body.
    """
    try:
        body = read_parts(request, reservation)
    except errors.OutOfMemory:
        while request.rfile.read(PART_BYTES):
            pass
        raise
    if request.chunked_read:
        # What looks like the last chunk may be the cut-off size of another.
        for line in request.rfile.read_trailer_lines():
            LOG.info('Trailer of a request ignored: %r', line)
        return body
    length = int(request.inheaders.get(b'Content-Length', 0))
    if len(body) < length:
        raise ValueError(f'The body ends after {len(body)} of {length} bytes.')
    return body


def read_parts(
    request: server.HTTPRequest, reservation: body_budget.BodyReservation
) -> bytes:
    """Return what comes of a body; raises `OutOfMemory`."""
    if not request.chunked_read:
        reservation.cover(int(request.inheaders.get(b'Content-Length', 0)))
        return request.rfile.read()
    body = bytearray()
    while data := request.rfile.read(PART_BYTES):
        reservation.cover(len(body) + len(data))
        body += data
    return bytes(body)


class CallerServer(http_server.LoggingServer):
    """Server that counts its requests in flight, for draining."""

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        threads: int,
        clock: clock.Clock,
        body_memory_bytes: int,
        body_weight: Weigh,
    ) -> None:
        super().__init__(address, Gateway, minthreads=threads)
        self.handler = handler
        self.clock = clock
        self.budget = body_budget.BodyBudget(body_memory_bytes)
        self.body_weight = body_weight
        self.request_queue_size = LISTEN_BACKLOG_COUNT
        self.timeout = DEFAULT_IDLE_TIMEOUT_S
        self.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS_COUNT
        self.shutdown_timeout = 1
        self.draining = threading.Event()
        self.in_flight = 0
        self.lock = threading.Lock()

    def apply_limits(
        self, idle_s: float, header_bytes: int, body_bytes: int
    ) -> None:
        """Set the operator's limits for new connections."""
        self.timeout = idle_s + IDLE_MARGIN_S
        self.max_request_header_size = header_bytes
        self.max_request_body_size = body_bytes

    @contextlib.contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request in `in_flight` while the context is open."""
        with self.lock:
            self.in_flight += 1
        try:
            yield
        finally:
            with self.lock:
                self.in_flight -= 1


@contextlib.contextmanager
def caller_server(
    address: str,
    handler: Handler,
    threads: int,
    clock: clock.Clock,
    body_memory_bytes: int = DEFAULT_BODY_MEMORY_BYTES,
    body_weight: Weigh = lambda host, path: 1.0,
) -> Iterator[CallerServer]:
    """Serve callers while the context is open.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    handler : callable
        Returns the response to a request; called from many threads.
    threads : int
        Requests served concurrently.
    clock : Clock
        Clock for arrival times.
    body_memory_bytes : int, optional
        Memory for the bodies of all requests in process.
    body_weight : callable, optional
        Returns the memory that a byte of a body takes, by host and path.
    """
    host, _, port = address.rpartition(':')
    own_server = CallerServer(
        (host, int(port)),
        handler,
        threads,
        clock,
        body_memory_bytes,
        body_weight,
    )
    with http_server.serving(own_server, address, 'caller_address'):
        yield own_server
