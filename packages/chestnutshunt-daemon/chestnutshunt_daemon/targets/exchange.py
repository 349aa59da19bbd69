"""Sends one request to one target and reads its response."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import http.client
import logging
import select

import urllib3
import urllib3.connection

from chestnutshunt.attempts import progress
from chestnutshunt import clock
from chestnutshunt.ratelimit import rate_gate
from chestnutshunt.replicas import replica
from chestnutshunt.replicas import replica_view
from chestnutshunt_daemon import connection_pool
from chestnutshunt_daemon import headers
from chestnutshunt_daemon import target_call
from chestnutshunt_daemon import target_error
from chestnutshunt_daemon.targets import attempt_context
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import open_exchange
from chestnutshunt_daemon.targets import target_codec
from chestnutshunt_daemon.targets import target_request
from chestnutshunt_daemon.targets import target_response

__all__ = ['Exchanger', 'wait_any']

LOG = logging.getLogger(__name__)

# A new connection opens within a few milliseconds inside a region and within
# 30 ms between regions.
CONNECT_TIMEOUT_S = 0.4

# Time in which a target must accept the bytes of a request, or each part of a
# long body.
SEND_TIMEOUT_S = 1.0
PART_BYTES = 65_536

# Time for a response head beyond the longest silence that is allowed, and its
# size with interim responses. The first part of the body may count as well.
HEAD_READ_S = 0.3
MAX_HEAD_BYTES = 262_144

# An idle connection is no longer reused this long before the target closes it;
# more than a request takes to reach the target.
IDLE_MARGIN_S = 0.7

# Time for which an idle connection is kept if the target names none.
DEFAULT_IDLE_S = 3.0


class Exchanger:
    """Sends requests to targets; thread-safe.

    Parameters
    ----------
    pool : ConnectionPool
        Idle connections.
    codec : TargetCodec
        Encodes request headers and decodes response heads.
    clock : Clock
        Clock of deadlines.
    gate : RateGate
        Records the rate limits of targets and holds back requests.
    view : ReplicaView
        Tells which targets serve, and records which say that they leave.
    """

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        codec: target_codec.TargetCodec,
        clock: clock.Clock,
        gate: rate_gate.RateGate,
        view: replica_view.ReplicaView,
    ) -> None:
        self.pool = pool
        self.codec = codec
        self.clock = clock
        self.gate = gate
        self.view = view

    @contextlib.contextmanager
    def exchange(
        self,
        target: replica.Replica,
        request: target_request.TargetRequest,
        silence_timeout_s: float,
        reuse: bool,
        token: cancel_token.CancelToken,
        resume_after: int | None = None,
    ) -> Iterator[target_response.TargetResponse]:
        """Send a request; the value of the context is the response.

        Takes the parameters of `begin` and `silence_timeout_s`, the longest
        time in seconds without data from the target.

        Raises
        ------
        TargetError
            The attempt failed; its `progress` tells how far it had got.
        """
        pending = self.begin(target, request, reuse, token, resume_after)
        try:
            yield self.read_head(pending, silence_timeout_s)
        finally:
            self.finish(pending)

    def begin(
        self,
        target: replica.Replica,
        request: target_request.TargetRequest,
        reuse: bool,
        token: cancel_token.CancelToken,
        resume_after: int | None = None,
    ) -> open_exchange.OpenExchange:
        """Send a request; `finish` must be called on the result.

        Parameters
        ----------
        target : Replica
            Target to send the request to.
        request : TargetRequest
            Request to send.
        reuse : bool
            Whether an idle connection may be used. It may turn out closed
            after the request was sent, which leaves it unknown whether the
            request ran.
        token : CancelToken
            Cancels the exchange, from another thread.
        resume_after : int, optional
            Id of the last event that is already known.

        Raises
        ------
        TargetError
            The attempt failed; its `progress` tells how far it had got.
        """
        if not self.gate.take(target):
            raise target_error.TargetError(
                f'{target.id} takes no more requests now.',
                progress.Progress.NOT_SENT,
                withheld=True,
            )
        connection = None
        if reuse:
            connection = self.pool.take_idle(target.address, request.id)
        reused = connection is not None
        if connection is None:
            connection = target_call.connect(
                target.id, target.address, CONNECT_TIMEOUT_S
            )
        pending = open_exchange.OpenExchange(
            target, request, connection, connection.sock, reused, token
        )
        try:
            token.register(connection)
            self.send_request(pending, resume_after)
        except BaseException:
            self.finish(pending)
            raise
        return pending

    def finish(self, pending: open_exchange.OpenExchange) -> None:
        """Keep the connection after a complete response, else close it."""
        pending.cancel_token.unregister(pending.connection)
        response = pending.response
        if response is None or not response.complete:
            pending.connection.close()
            return
        if not pending.connection.is_connected:
            pending.connection.close()
            return
        idle_s = response.head.idle_s
        idle_s = DEFAULT_IDLE_S if idle_s is None else idle_s - IDLE_MARGIN_S
        self.pool.keep(
            pending.replica.address,
            pending.connection,
            idle_s,
            pending.request.id,
        )

    def send_request(
        self, pending: open_exchange.OpenExchange, resume_after: int | None
    ) -> None:
        """Send the request on its connection; raises `TargetError`."""
        request = pending.request
        remaining_s = request.deadline - self.clock.monotonic()
        if remaining_s <= 0:
            raise target_error.TargetError(
                'The deadline passed before the request was sent.',
                progress.Progress.NOT_SENT,
            )
        if not self.view.is_serving(pending.replica):
            raise target_error.TargetError(
                f'{pending.replica.id} left before the request was sent.',
                progress.Progress.NOT_SENT,
                withheld=True,
            )
        context = attempt_context.AttemptContext(
            request.id,
            pending.replica.id,
            remaining_s,
            request.workspace,
            resume_after,
        )
        pending.sent_at = self.clock.monotonic()
        LOG.info(
            'Sending request',
            extra={
                'request': request.id,
                'target': pending.replica.id,
                'software': pending.replica.software,
                'after': resume_after,
                'rate_limit': self.gate.limits.rate(pending.replica),
            },
        )
        pending.connection.timeout = SEND_TIMEOUT_S
        pending.connection.sock.settimeout(SEND_TIMEOUT_S)
        with (
            target_call.translate_head_errors(
                pending.replica.id, pending.reused
            ),
            reject_malformed(request.id),
        ):
            self.write_request(
                pending.connection, request, self.codec.encode_headers(context)
            )

    def read_head(
        self, pending: open_exchange.OpenExchange, silence_timeout_s: float
    ) -> target_response.TargetResponse:
        """Read the head of the response; raises `TargetError`."""
        pending.connection.timeout = silence_timeout_s
        pending.connection.sock.settimeout(silence_timeout_s)
        pending.sock.limit(silence_timeout_s + HEAD_READ_S, MAX_HEAD_BYTES)
        with target_call.translate_head_errors(
            pending.replica.id, pending.reused
        ):
            response = pending.connection.getresponse()
        pending.response = self.check_head(pending, response)
        return pending.response

    def write_request(
        self,
        connection: urllib3.connection.HTTPConnection,
        request: target_request.TargetRequest,
        reserved: dict[str, str],
    ) -> None:
        """Write the request, keeping repeated headers."""
        fields = urllib3.HTTPHeaderDict()
        fields.add('Host', request.host)
        dropped = (
            {name.lower() for name in reserved}
            | self.codec.reserved_headers
            | headers.UNFORWARDED_HEADERS
        )
        for name, value in request.headers:
            if name.lower() not in dropped:
                fields.add(name, encodable(value))
        for name, value in reserved.items():
            fields.add(name, value)
        if 'User-Agent' not in fields:
            fields.add('User-Agent', urllib3.util.SKIP_HEADER)
        body: bytes | Iterator[memoryview] | None = request.body or None
        if len(request.body) > PART_BYTES:
            fields.add('Content-Length', str(len(request.body)))
            body = self.body_parts(request)
        connection.request(
            request.method,
            request.path,
            body=body,
            headers=fields,
            preload_content=False,
            decode_content=False,
        )

    def body_parts(
        self, request: target_request.TargetRequest
    ) -> Iterator[memoryview]:
        """Yield a long body in parts, each of which has its own timeout.

        Raises
        ------
        TimeoutError
            The request's time has passed.
        """
        body = memoryview(request.body)
        for at in range(0, len(body), PART_BYTES):
            if self.clock.monotonic() > request.deadline:
                raise TimeoutError('The target took the body too slowly.')
            yield body[at : at + PART_BYTES]

    def check_head(
        self,
        pending: open_exchange.OpenExchange,
        response: urllib3.BaseHTTPResponse,
    ) -> target_response.TargetResponse:
        """Return the response; raises `TargetError` if its id differs."""
        target_id = pending.replica.id
        head = self.codec.decode_head(response.status, response.headers)
        if head.request_id != pending.request.id:
            raise target_error.TargetError(
                f'{target_id} sent the response of another request.',
                progress.Progress.MAY_HAVE_RUN,
                stale=pending.reused,
            )
        if head.leaving and not head.other_process:
            self.view.leaving_targets.add(pending.replica, pending.request.id)
        self.gate.limits.observe(
            pending.replica, head.rate_limit, pending.sent_at
        )
        forwarded = [
            (key, value)
            for key, value in response.headers.items()
            if key.lower() not in headers.CONNECTION_HEADERS
        ]
        return target_response.TargetResponse(
            head,
            forwarded,
            response,
            pending.sock,
            target_id,
            pending.reused,
        )


def encodable(value: str) -> str:
    """Return a header value that is sent in UTF-8 if Latin-1 lacks a letter.

    The standard library encodes header values in Latin-1.
    """
    try:
        value.encode('latin-1')
    except UnicodeEncodeError:
        return value.encode().decode('latin-1')
    return value


@contextlib.contextmanager
def reject_malformed(request_id: str) -> Iterator[None]:
    """Translate the error of a request that can't be written.

    Raises
    ------
    TargetError
        Nothing was sent, and the target has no part in it.
    """
    try:
        yield
    except (ValueError, http.client.InvalidURL) as exc:
        LOG.warning(
            'Request cannot be written',
            extra={'request': request_id, 'error': repr(exc)},
        )
        raise target_error.TargetError(
            f'The request cannot be written: {exc!r}.',
            progress.Progress.NOT_SENT,
            withheld=True,
        ) from exc


def wait_any(
    exchanges: Sequence[open_exchange.OpenExchange], timeout_s: float
) -> list[open_exchange.OpenExchange]:
    """Wait for responses; return the exchanges with a readable connection.

    A connection that was closed counts as readable. The timeout is in seconds.
    """
    poll = select.poll()
    by_descriptor = {}
    for exchange in exchanges:
        sock = exchange.connection.sock
        if sock is None or sock.fileno() < 0:
            return [exchange]
        by_descriptor[sock.fileno()] = exchange
        poll.register(sock, select.POLLIN)
    ready = poll.poll(max(timeout_s, 0.0) * 1000)
    return [by_descriptor[descriptor] for descriptor, _ in ready]
