"""One attempt at one target, written straight down."""

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
from chestnutshunt_daemon import caller_request
from chestnutshunt_daemon import connection_pool
from chestnutshunt_daemon import headers
from chestnutshunt_daemon import target_error

__all__ = [
    'TargetResponse',
    'open_response',
    'translate_body_errors',
    'connect',
    'translate_head_errors',
]

CONNECT_TIMEOUT = 1.0
"""Seconds."""

SILENT = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)
CLOSED = (ConnectionError, urllib3.exceptions.ProtocolError)


@contextlib.contextmanager
def translate_head_errors(name: str, reused: bool) -> Iterator[None]:
    """Turn what breaks an exchange off before its answer into an error.

    Parameters
    ----------
    name : str
        The target.
    reused : bool
        True if the connection was kept from an earlier request. Its end then
        shows nothing about the target.

    Raises
    ------
    TargetError
        The target may have run the request.
    """
    sent = progress.Progress.MAY_HAVE_RUN
    try:
        yield
    except CLOSED as exc:
        message = f'{name} closed: {type(exc).__name__}.'
        raise target_error.TargetError(
            message, sent, crashed=not reused, stale=reused
        ) from exc
    except SILENT as exc:
        message = f'{name} is silent: {type(exc).__name__}.'
        raise target_error.TargetError(message, sent) from exc


@contextlib.contextmanager
def translate_body_errors(name: str) -> Iterator[None]:
    """Turn what breaks the body of a target's answer off into an error.

    Raises
    ------
    TargetError
        The target has run at least a part of the request.
    """
    sent = progress.Progress.MAY_HAVE_RUN
    try:
        yield
    except CLOSED as exc:
        message = f'{name} broke off: {type(exc).__name__}.'
        raise target_error.TargetError(message, sent, True) from exc
    except (*SILENT, ValueError) as exc:
        # A read from a connection that another thread closes.
        message = f'{name} fell silent: {type(exc).__name__}.'
        raise target_error.TargetError(message, sent) from exc


@attrs.define(eq=False)
class TargetResponse:
    """A target's answer, whose body is still to be read.

    Attributes
    ----------
    head : AnswerHead
        Status and headers that may be passed on.
    retry_after_s : float or None
        Seconds the target asked to be spared.
    """

    head: answer_head.AnswerHead
    retry_after_s: float | None
    http_response: urllib3.BaseHTTPResponse
    target_name: str
    complete: bool = False

    def body(self) -> Iterator[bytes]:
        """Yield the body as it comes.

        Raises
        ------
        TargetError
            The body broke off or fell silent.
        """
        with translate_body_errors(self.target_name):
            yield from self.http_response.stream(65536)
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
    """Send a request to a target and hold its answer.

    Parameters
    ----------
    pool : ConnectionPool
        Idle connections.
    clock : Clock
        Clock of the request's deadline.
    chosen_target : Target
        Where to send it.
    request : CallerRequest
        What to send.
    current_attempt : Attempt
        Is told before the first byte goes out that the request may run.
    body : bytes
        Body to send in place of the request's own.
    reuse : bool
        Whether an idle connection may be used. It may turn out closed after
        the request was sent, which leaves open whether the request ran.

    Raises
    ------
    TargetError
        Says how far the attempt had got.
    """
    silence = silence_limit(clock, request)
    connection = reopen(pool, chosen_target, silence) if reuse else None
    reused = connection is not None
    if connection is None:
        connection = connect(
            chosen_target.name,
            chosen_target.address,
            min(CONNECT_TIMEOUT, silence),
        )
        connection.timeout = silence
        connection.sock.settimeout(silence)
    finished = False
    try:
        steps.reach('target.connected')
        refuse_late(clock, chosen_target, request)
        current_attempt.advance(progress.Progress.MAY_HAVE_RUN)
        answer = send(connection, chosen_target, request, body, reused)
        steps.reach('target.head_read')
        yield answer
        finished = answer.complete
    finally:
        if finished and connection.is_connected:
            pool.keep(chosen_target.address, connection)
        else:
            connection.close()


def refuse_late(
    source: clock.Clock,
    chosen: target.Target,
    request: caller_request.CallerRequest,
) -> None:
    """Raise `TargetError`, nothing sent, if the deadline has passed."""
    if source.monotonic() >= request.deadline:
        raise target_error.TargetError(
            f'No time was left when {chosen.name} had connected.',
            progress.Progress.NOT_SENT,
        )


def silence_limit(
    source: clock.Clock, request: caller_request.CallerRequest
) -> float:
    """Return the longest silence in seconds that the request allows."""
    remaining = request.deadline - source.monotonic()
    return min(request.settings.progress_timeout_s, max(remaining, 0.01))


def reopen(
    pool: connection_pool.ConnectionPool,
    chosen: target.Target,
    silence: float,
) -> urllib3.connection.HTTPConnection | None:
    """Return an idle connection with a new timeout, if there is one."""
    held = pool.take_idle(chosen.address)
    if held is not None:
        held.timeout = silence
        held.sock.settimeout(silence)
    return held


def connect(
    name: str, address: str, timeout_s: float
) -> urllib3.connection.HTTPConnection:
    """Return a new connection to a target.

    Raises
    ------
    TargetError
        It did not open, and nothing was sent.
    """
    host, _, port = address.rpartition(':')
    made = urllib3.connection.HTTPConnection(
        host, int(port), timeout=timeout_s
    )
    try:
        made.connect()
    except SILENT as exc:
        message = f'{name} did not connect: {type(exc).__name__}.'
        raise target_error.TargetError(
            message, progress.Progress.NOT_SENT
        ) from exc
    return made


def send(
    connection: urllib3.connection.HTTPConnection,
    chosen: target.Target,
    request: caller_request.CallerRequest,
    body: bytes,
    reused: bool,
) -> TargetResponse:
    """Send the request and read the head of the answer."""
    with translate_head_errors(chosen.name, reused):
        connection.request(
            request.method,
            request.path,
            body=body,
            headers=request.headers,
            preload_content=False,
            decode_content=False,
        )
        steps.reach('target.sent')
        response = connection.getresponse()
    head = answer_head.AnswerHead(
        response.status, headers.filter_for_caller(response.headers.items())
    )
    return TargetResponse(
        head,
        parse_seconds(response.headers.get('Retry-After')),
        response,
        chosen.name,
    )


def parse_seconds(text: str | None) -> float | None:
    """Return a Retry-After value in seconds, ``None`` if there is none."""
    try:
        return max(float(text), 0.0) if text else None
    except ValueError:
        return None
