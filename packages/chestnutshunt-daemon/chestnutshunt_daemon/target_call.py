"""One HTTP exchange with one target."""

from collections.abc import Iterator
import contextlib
import http.client

import attrs
import urllib3
import urllib3.connection

from chestnutshunt.attempts import answer_head
from chestnutshunt.attempts import attempt
from chestnutshunt.attempts import progress
from chestnutshunt import clock
from chestnutshunt.routing import target
from chestnutshunt import steps
from chestnutshunt_daemon import bounded_connection
from chestnutshunt_daemon import bounded_socket
from chestnutshunt_daemon import caller_request
from chestnutshunt_daemon import connection_pool
from chestnutshunt_daemon import headers
from chestnutshunt_daemon.http1 import malformed_response
from chestnutshunt_daemon import response_parts
from chestnutshunt_daemon import target_error

__all__ = [
    'TargetResponse',
    'connect',
    'may_have_crashed',
    'open_response',
    'translate_body_errors',
    'translate_head_errors',
]

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.2

# Time for a response head beyond the longest silence that is allowed, and its
# size with interim responses. The first part of the body may count as well.
HEAD_READ_S = 0.3
MAX_HEAD_BYTES = 262_144

# Largest body that is passed on; it is not kept in memory.
MAX_BODY_BYTES = 268_435_456

EXCHANGE_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)
CLOSED_ERRORS = (ConnectionError, urllib3.exceptions.ProtocolError)


@contextlib.contextmanager
def translate_head_errors(target_name: str, reused: bool) -> Iterator[None]:
    """Translate errors before the response head into `TargetError`.

    Parameters
    ----------
    target_name : str
        Name of the target, for errors.
    reused : bool
        True if the connection comes from the pool. That it is closed then
        does not mean that the target crashed.

    Raises
    ------
    TargetError
        The target may have run the request.
    """
    attempt_progress = progress.Progress.MAY_HAVE_RUN
    try:
        yield
    except malformed_response.MalformedResponse as exc:
        message = f'{target_name} sent a malformed response: {exc}'
        raise target_error.TargetError(message, attempt_progress) from exc
    except CLOSED_ERRORS as exc:
        message = f'{target_name} closed the connection: {type(exc).__name__}.'
        raise target_error.TargetError(
            message,
            attempt_progress,
            crashed=not reused,
            stale=reused,
            was_reset=is_reset(exc),
        ) from exc
    except EXCHANGE_ERRORS as exc:
        message = f'{target_name} did not respond: {type(exc).__name__}.'
        raise target_error.TargetError(message, attempt_progress) from exc


@contextlib.contextmanager
def translate_body_errors(target_name: str) -> Iterator[None]:
    """Translate errors within the response body into `TargetError`.

    Raises
    ------
    TargetError
        The target has run at least part of the request.
    """
    attempt_progress = progress.Progress.MAY_HAVE_RUN
    try:
        yield
    except malformed_response.MalformedResponse as exc:
        message = f'{target_name} sent a malformed body: {exc}'
        raise target_error.TargetError(message, attempt_progress) from exc
    except CLOSED_ERRORS as exc:
        message = (
            f'{target_name} closed the connection early: {type(exc).__name__}.'
        )
        raise target_error.TargetError(
            message, attempt_progress, True
        ) from exc
    except (*EXCHANGE_ERRORS, ValueError) as exc:
        # ValueError: read from a connection that another thread has closed.
        message = f'{target_name} stopped sending: {type(exc).__name__}.'
        raise target_error.TargetError(message, attempt_progress) from exc


@attrs.define(eq=False)
class TargetResponse:
    """Response of a target, whose body has not been read yet.

    Attributes
    ----------
    head : AnswerHead
        Status and headers to forward.
    retry_after_s : float or None
        Value of Retry-After in seconds.
    http_response : BaseHTTPResponse
        Response of urllib3.
    target_name : str
        Name of the target, for errors.
    sock : BoundedSocket
        Socket that the response is read from.
    progress_timeout_s : float
        Seconds in which a part of the body, or its trailer, must arrive.
    complete : bool
        True once the body was read to its end.
    """

    head: answer_head.AnswerHead
    retry_after_s: float | None
    http_response: urllib3.BaseHTTPResponse
    target_name: str
    sock: bounded_socket.BoundedSocket
    progress_timeout_s: float
    complete: bool = False

    def body(self) -> Iterator[bytes]:
        """Yield the chunks of the body.

        Raises
        ------
        TargetError
            The body ended early, exceeds `MAX_BODY_BYTES`, or the target
            stopped sending.
        """
        size = 0
        with translate_body_errors(self.target_name):
            for data in response_parts.read_parts(
                self.http_response, self.sock, self.progress_timeout_s
            ):
                size += len(data)
                if size > MAX_BODY_BYTES:
                    raise ValueError('The body is too large.')
                yield data
        self.complete = True


@contextlib.contextmanager
def open_response(
    pool: connection_pool.ConnectionPool,
    clock: clock.Clock,
    chosen_target: target.Target,
    request: caller_request.CallerRequest,
    current_attempt: attempt.Attempt,
    body: bytes,
    reuse: bool,
) -> Iterator[TargetResponse]:
    """Send a request to a target and yield its response.

    The connection returns to the pool if the body was read completely.

    Parameters
    ----------
    pool : ConnectionPool
        Idle connections.
    clock : Clock
        Clock of the request's deadline.
    chosen_target : Target
        Target to send to.
    request : CallerRequest
        Request to send.
    current_attempt : Attempt
        Advanced to MAY_HAVE_RUN before the first byte is sent.
    body : bytes
        Body to send instead of the request's own.
    reuse : bool
        Whether a pooled connection may be used. If it turns out to be closed
        after the request was sent, it is unknown whether the request ran.

    Raises
    ------
    TargetError
        The exchange failed; the error carries the progress of the attempt.
    """
    timeout_s = silence_limit(clock, request)
    connection = reopen(pool, chosen_target, timeout_s) if reuse else None
    reused = connection is not None
    if connection is None:
        connection = connect(
            chosen_target.name,
            chosen_target.address,
            min(CONNECT_TIMEOUT_S, timeout_s),
        )
        connection.timeout = timeout_s
        connection.sock.settimeout(timeout_s)
    complete = False
    try:
        steps.reach('target.connected')
        refuse_late(clock, chosen_target, request)
        current_attempt.advance(progress.Progress.MAY_HAVE_RUN)
        response = send(connection, chosen_target, request, body, reused)
        steps.reach('target.head_read')
        yield response
        complete = response.complete
    finally:
        if complete and connection.is_connected:
            pool.keep(chosen_target.address, connection)
        else:
            connection.close()


def refuse_late(
    clock: clock.Clock,
    chosen_target: target.Target,
    request: caller_request.CallerRequest,
) -> None:
    """Raise `TargetError` with NOT_SENT if the deadline has passed."""
    if clock.monotonic() >= request.deadline:
        raise target_error.TargetError(
            f'The deadline passed while connecting to {chosen_target.name}.',
            progress.Progress.NOT_SENT,
        )


def silence_limit(
    clock: clock.Clock, request: caller_request.CallerRequest
) -> float:
    """Return the socket timeout in seconds that the request allows."""
    remaining_s = request.deadline - clock.monotonic()
    return min(request.settings.progress_timeout_s, max(remaining_s, 0.01))


def reopen(
    pool: connection_pool.ConnectionPool,
    chosen_target: target.Target,
    timeout_s: float,
) -> urllib3.connection.HTTPConnection | None:
    """Take a pooled connection and set its timeout, if there is one."""
    connection = pool.take_idle(chosen_target.address)
    if connection is not None:
        connection.timeout = timeout_s
        connection.sock.settimeout(timeout_s)
    return connection


def connect(
    target_name: str, address: str, timeout_s: float
) -> urllib3.connection.HTTPConnection:
    """Open a connection to a target.

    Raises
    ------
    TargetError
        The connection failed; nothing was sent.
    """
    host, _, port = address.rpartition(':')
    connection = bounded_connection.BoundedConnection(
        host, int(port), timeout=timeout_s
    )
    try:
        connection.connect()
    except EXCHANGE_ERRORS as exc:
        message = f'Connecting to {target_name} failed: {type(exc).__name__}.'
        # A listener that is there may reset a connection as soon as it is
        # open; without one it is refused.
        cause = exc.__cause__ or exc
        raise target_error.TargetError(
            message,
            progress.Progress.NOT_SENT,
            unreachable=not isinstance(cause, ConnectionResetError),
        ) from exc
    return connection


def is_reset(exc: Exception) -> bool:
    """Return whether a connection was reset, and not closed in order."""
    return isinstance(exc, ConnectionError) and not isinstance(
        exc, http.client.RemoteDisconnected
    )


def may_have_crashed(
    failure: target_error.TargetError, target_name: str, address: str
) -> bool:
    """Return whether a failure looks like the crash of its target."""
    return failure.crashed and not (
        failure.was_reset and is_reachable(target_name, address)
    )


def is_reachable(target_name: str, address: str) -> bool:
    """Return whether a target accepts connections.

    One that resets connections because it has too many still does; one that
    has crashed does not until it has started again.
    """
    try:
        connect(target_name, address, PROBE_TIMEOUT_S).close()
    except target_error.TargetError as exc:
        return not exc.unreachable
    return True


def send(
    connection: urllib3.connection.HTTPConnection,
    chosen_target: target.Target,
    request: caller_request.CallerRequest,
    body: bytes,
    reused: bool,
) -> TargetResponse:
    """Send the request and read the response head."""
    sock = connection.sock
    with translate_head_errors(chosen_target.name, reused):
        connection.request(
            request.method,
            request.path,
            body=body,
            headers=request.headers,
            preload_content=False,
            decode_content=False,
        )
        steps.reach('target.sent')
        sock.limit(connection.timeout + HEAD_READ_S, MAX_HEAD_BYTES)
        response = connection.getresponse()
    head = answer_head.AnswerHead(
        response.status, headers.filter_for_caller(response.headers.items())
    )
    return TargetResponse(
        head,
        parse_seconds(response.headers.get('Retry-After')),
        response,
        chosen_target.name,
        sock,
        request.settings.progress_timeout_s,
    )


def parse_seconds(text: str | None) -> float | None:
    """Parse Retry-After in seconds; ``None`` if absent or not a number."""
    try:
        return max(float(text), 0.0) if text else None
    except ValueError:
        return None
