"""One attempt at one target, written straight down."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import select

import urllib3
import urllib3.connection

from chestnutshunt.attempts import progress
from chestnutshunt import clock
from chestnutshunt.replicas import replica
from chestnutshunt_daemon import connection_pool
from chestnutshunt_daemon import headers
from chestnutshunt_daemon import target_call
from chestnutshunt_daemon import target_error
from chestnutshunt_daemon.targets import begun_exchange
from chestnutshunt_daemon.targets import cutter
from chestnutshunt_daemon.targets import send_facts
from chestnutshunt_daemon.targets import target_answer
from chestnutshunt_daemon.targets import target_dialect
from chestnutshunt_daemon.targets import target_request

__all__ = ['Exchanger', 'wait_any']

CONNECT_S = 0.4
"""Seconds; a new connection inside a region opens within a few
milliseconds, between regions within 30."""

SEND_S = 1.0
"""Seconds that a target may take to accept a request's bytes."""

IDLE_MARGIN_S = 0.7
"""Seconds before the target closes an idle connection when it is no longer
used; more than a request takes to get there."""

IDLE_DEFAULT_S = 3.0
"""Seconds for which a connection is kept if the target names no time."""


class Exchanger:
    """Sends requests to targets.

    Parameters
    ----------
    pool : ConnectionPool
        Idle connections.
    dialect : TargetDialect
        What targets speak.
    source : Clock
        Clock of deadlines.
    """

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        dialect: target_dialect.TargetDialect,
        source: clock.Clock,
    ) -> None:
        self.pool = pool
        self.dialect = dialect
        self.source = source

    @contextlib.contextmanager
    def answer_of(
        self,
        chosen: replica.Replica,
        request: target_request.TargetRequest,
        silence_s: float,
        reuse: bool,
        cutter: cutter.Cutter,
        resume_after: int | None = None,
    ) -> Iterator[target_answer.Answer]:
        """Send a request and hold its answer.

        Beside what `begin` takes, `silence_s` is the time in seconds that the
        target may be silent.

        Raises
        ------
        TargetError
            Says how far the attempt had got.
        """
        begun = self.begin(chosen, request, reuse, cutter, resume_after)
        try:
            yield self.answer(begun, silence_s)
        finally:
            self.finish(begun)

    def begin(
        self,
        chosen: replica.Replica,
        request: target_request.TargetRequest,
        reuse: bool,
        cutter: cutter.Cutter,
        resume_after: int | None = None,
    ) -> begun_exchange.Begun:
        """Send a request; `finish` has to follow.

        Parameters
        ----------
        chosen : Replica
            Where to send it.
        request : TargetRequest
            What to send.
        reuse : bool
            Whether an idle connection may be used. It may turn out closed
            after the request was sent, which leaves open whether it ran.
        cutter : Cutter
            Is given the connection, so that another thread can cut it off.
        resume_after : int, optional
            Last event that is known.

        Raises
        ------
        TargetError
            Says how far the attempt had got.
        """
        connection = None
        if reuse:
            connection = self.pool.take_idle(chosen.address, request.id)
        reused = connection is not None
        if connection is None:
            connection = target_call.connect(
                chosen.id, chosen.address, CONNECT_S
            )
        begun = begun_exchange.Begun(
            chosen, request, connection, reused, cutter
        )
        try:
            cutter.take(connection)
            self.send(begun, resume_after)
        except BaseException:
            self.finish(begun)
            raise
        return begun

    def finish(self, begun: begun_exchange.Begun) -> None:
        """Keep the connection if its answer was read whole, else close it."""
        begun.cutter.drop(begun.connection)
        answer = begun.answer
        if answer is None or not answer.whole:
            begun.connection.close()
            return
        if not begun.connection.is_connected:
            begun.connection.close()
            return
        idle = answer.facts.idle_s
        idle = IDLE_DEFAULT_S if idle is None else idle - IDLE_MARGIN_S
        self.pool.keep(
            begun.replica.address, begun.connection, idle, begun.request.id
        )

    def send(
        self, begun: begun_exchange.Begun, resume_after: int | None
    ) -> None:
        """Send the request on its connection."""
        request = begun.request
        remaining = request.deadline - self.source.monotonic()
        if remaining <= 0:
            raise target_error.TargetError(
                'No time was left to send it.', progress.Progress.NOT_SENT
            )
        facts = send_facts.SendFacts(
            request.id,
            begun.replica.id,
            remaining,
            request.workspace,
            resume_after,
        )
        begun.connection.timeout = SEND_S
        begun.connection.sock.settimeout(SEND_S)
        with target_call.translate_head_errors(begun.replica.id, begun.reused):
            self.write(begun.connection, request, self.dialect.headers(facts))

    def answer(
        self, begun: begun_exchange.Begun, silence_s: float
    ) -> target_answer.Answer:
        """Read the head of the answer; raises `TargetError`."""
        begun.connection.timeout = silence_s
        begun.connection.sock.settimeout(silence_s)
        with target_call.translate_head_errors(begun.replica.id, begun.reused):
            response = begun.connection.getresponse()
        begun.answer = self.check(begun, response)
        return begun.answer

    def write(
        self,
        connection: urllib3.connection.HTTPConnection,
        request: target_request.TargetRequest,
        own: dict[str, str],
    ) -> None:
        """Write the request, headers repeated as the caller sent them."""
        sent = urllib3.HTTPHeaderDict()
        sent.add('Host', request.host)
        left_out = {name.lower() for name in own} | self.dialect.own_headers
        for name, value in request.headers:
            if name.lower() not in left_out:
                sent.add(name, value)
        for name, value in own.items():
            sent.add(name, value)
        if 'User-Agent' not in sent:
            sent.add('User-Agent', urllib3.util.SKIP_HEADER)
        connection.request(
            request.method,
            request.path,
            body=request.body or None,
            headers=sent,
            preload_content=False,
            decode_content=False,
        )

    def check(
        self, begun: begun_exchange.Begun, response: urllib3.BaseHTTPResponse
    ) -> target_answer.Answer:
        """Return the answer if it is that of this request."""
        name = begun.replica.id
        facts = self.dialect.facts(response.status, response.headers)
        if facts.request_id != begun.request.id:
            raise target_error.TargetError(
                f'{name} answered another request.',
                progress.Progress.MAY_HAVE_RUN,
                stale=begun.reused,
            )
        passed_on = [
            (key, value)
            for key, value in response.headers.items()
            if key.lower() not in headers.CONNECTION_HEADERS
        ]
        return target_answer.Answer(facts, passed_on, response, name)


def wait_any(
    begun: Sequence[begun_exchange.Begun], timeout: float
) -> list[begun_exchange.Begun]:
    """Return the exchanges whose targets have begun to answer.

    A connection that was closed counts too.
    """
    poll = select.poll()
    numbers = {}
    for item in begun:
        sock = item.connection.sock
        if sock is None or sock.fileno() < 0:
            return [item]
        numbers[sock.fileno()] = item
        poll.register(sock, select.POLLIN)
    found = poll.poll(max(timeout, 0.0) * 1000)
    return [numbers[number] for number, _ in found]
