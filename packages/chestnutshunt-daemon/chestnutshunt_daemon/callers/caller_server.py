"""HTTP server for callers that gives handlers the connection."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import http.client
import io
import logging
import threading

from cheroot import server

from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt_daemon.callers import body_parts
from chestnutshunt_daemon.callers import caller_request
from chestnutshunt_daemon.callers import caller_response
from chestnutshunt_daemon.callers import error_response
from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_daemon.clients import holding
from chestnutshunt_daemon import http_server

__all__ = ['CallerServer', 'caller_server']

LOG = logging.getLogger(__name__)

LISTEN_BACKLOG_COUNT = 512

PART_BYTES = 65_536

# Memory for all that callers hold, if not set.
DEFAULT_MEMORY_BYTES = 67_108_864

# Used until the operator's limit is known.
DEFAULT_IDLE_TIMEOUT_S = 30.0

# Added to the operator's limit, so that a connection isn't closed while a
# caller reuses it within the limit.
IDLE_MARGIN_S = 2.0

Handler = Callable[
    [caller_request.CallerRequest], caller_response.CallerResponse
]


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
        is_job = own_server.is_job(
            headers.get('host', ''), target.partition('?')[0]
        )
        connection = request.conn
        parts = body_parts.BodyParts(connection.cover_body) if is_job else None
        kept = io.BytesIO()
        try:
            self.read_body(kept if parts is None else parts)
        except (OSError, ValueError) as exc:
            LOG.info('Could not read the body of a request: %r', exc)
            request.close_connection = True
            request.ready = False
            return
        except (errors.BadRequest, errors.OutOfMemory) as exc:
            LOG.warning(
                'Request refused for its size',
                extra={'path': target, 'error': exc.message},
            )
            request.close_connection = True
            self.write(error_response.error_response(exc), own_server)
            return
        incoming = caller_request.CallerRequest(
            method=request.method.decode('latin-1'),
            target=target,
            headers=headers,
            body=kept.getvalue(),
            parts=parts,
            connection=connection.socket,
            arrived_at=own_server.clock.monotonic(),
            cover_answer=functools.partial(
                connection.cover, holding.Part.ANSWER
            ),
            cover_job=functools.partial(connection.cover, holding.Part.JOB),
        )
        with own_server.count_request():
            self.write(own_server.handler(incoming), own_server)

    def read_body(self, kept: io.BytesIO | body_parts.BodyParts) -> None:
        """Read the whole body, holding memory for it before it comes.

        Raises
        ------
        ValueError
            The body is malformed, or the caller ended it early.
        BadRequest
            The body or its trailer is larger than the operator allows.
        OutOfMemory
            There is not enough memory for the body. What comes of it is read
            without being kept, as its caller reads no response before.
        """
        body = self.req.rfile
        if body.is_buffered:
            kept.write(body.read())
            return
        with self.req.server.requests.while_waiting():
            try:
                body.reserve()
                for part in body.parts():
                    body.keep(kept, part)
            except errors.OutOfMemory:
                body.discard()
                raise

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
                for part in body_pieces(response):
                    request.write(part)
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


def body_pieces(
    response: caller_response.CallerResponse,
) -> Iterator[bytes | memoryview]:
    """Yield the body whole, or in parts if no memory is held for it."""
    if not response.is_shared:
        yield response.body
        return
    body = memoryview(response.body)
    for at in range(0, len(body), PART_BYTES):
        yield body[at : at + PART_BYTES]


class CallerServer(http_server.BudgetServer):
    """Server that counts its requests in flight, for draining."""

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        threads: int,
        clock: clock.Clock,
        budget: client_budget.ClientBudget,
        is_job: Callable[[str, str], bool],
    ) -> None:
        super().__init__(address, Gateway)
        self.handler = handler
        self.clock = clock
        self.places = threads
        self.budget = budget
        self.is_job = is_job
        self.request_queue_size = LISTEN_BACKLOG_COUNT
        self.timeout = DEFAULT_IDLE_TIMEOUT_S
        self.shutdown_timeout = 1
        self.draining = threading.Event()
        self.in_flight = 0
        self.lock = threading.Lock()

    def apply_limits(
        self,
        idle_s: float,
        header_s: float,
        header_bytes: int,
        body_bytes: int,
    ) -> None:
        """Set the operator's limits for new connections."""
        self.timeout = idle_s + IDLE_MARGIN_S
        self.header_timeout = header_s + IDLE_MARGIN_S
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
    budget: client_budget.ClientBudget | None = None,
    is_job: Callable[[str, str], bool] = lambda host, path: False,
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
    budget : ClientBudget, optional
        Budget of all that callers hold.
    is_job : callable, optional
        Returns whether requests of a host and path submit jobs, whose bodies
        are freed as they are decoded.
    """
    host, _, port = address.rpartition(':')
    own_server = CallerServer(
        (host, int(port)),
        handler,
        threads,
        clock,
        budget or client_budget.ClientBudget(DEFAULT_MEMORY_BYTES, clock),
        is_job,
    )
    with http_server.serving(own_server, address, 'caller_address'):
        yield own_server
