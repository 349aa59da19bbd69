"""WSGI application for callers."""

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import itertools
import logging
from typing import Any

from chestnutshunt.admission import grant
from chestnutshunt.attempts import answer_head
from chestnutshunt.attempts import attempt
from chestnutshunt.attempts import identity
from chestnutshunt.attempts import progress
from chestnutshunt.config import service_settings
from chestnutshunt import errors
from chestnutshunt import steps
from chestnutshunt_daemon import answer_body
from chestnutshunt_daemon import caller_parser
from chestnutshunt_daemon import caller_request
from chestnutshunt_daemon import engine_execution
from chestnutshunt_daemon import error_reply
from chestnutshunt_daemon import execution
from chestnutshunt_daemon import node
from chestnutshunt_daemon import once_execution
from chestnutshunt_daemon import run_api

__all__ = ['FrontApplication']

LOG = logging.getLogger(__name__)

RUNS_PREFIX = '/v1/runs/'
MAX_RUN_BODY = 4096

CUT_OFF_AFTER = 5.0
"""Seconds without the platform after which a service may refuse."""


class FrontApplication:
    """Serves callers of services.

    Parameters
    ----------
    state : Node
        The daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Serve one request."""
        environ['chestnutshunt.id'] = caller_parser.new_request_id()
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.state.counted())
            try:
                parts = self.parts(environ)
                head = next(parts)
                first = next(parts, b'')
            except errors.ChestnutshuntError as exc:
                return self.refuse(environ, start_response, exc)
            except Exception:
                LOG.exception('Request %s', environ['chestnutshunt.id'])
                return self.refuse(
                    environ, start_response, error_reply.internal_error()
                )
            stack.callback(parts.close)
            reason = error_reply.REASON_PHRASES.get(head.status, 'Status')
            start_response(
                f'{head.status} {reason}',
                [
                    *head.headers,
                    ('X-Request-Id', environ['chestnutshunt.id']),
                ],
            )
            body = itertools.chain([first], parts)
            return answer_body.AnswerBody(body, stack.pop_all())

    def refuse(
        self,
        environ: dict[str, Any],
        start_response: Callable,
        error: errors.ChestnutshuntError,
    ) -> Iterable[bytes]:
        """Answer with a typed error."""
        payload = error_reply.render_error(error, environ['chestnutshunt.id'])
        service = environ.get('chestnutshunt.service', '(none)')
        self.state.metrics.requests.labels(service, error.kind).inc()
        LOG.info(
            'Refused: %s',
            error.message,
            extra={
                'request': environ['chestnutshunt.id'],
                'service': service,
                'kind': error.kind,
            },
        )
        headers = error_reply.error_headers(error, payload)
        headers.append(('X-Request-Id', environ['chestnutshunt.id']))
        reason = error_reply.REASON_PHRASES[error.status]
        start_response(f'{error.status} {reason}', headers)
        return [payload]

    def parts(self, environ: dict[str, Any]) -> Iterator[execution.Part]:
        """Yield the head and the body of the answer to a request."""
        if environ['PATH_INFO'].startswith(RUNS_PREFIX):
            yield from self.run_parts(environ)
            return
        service, path = caller_parser.split_path(environ)
        settings = self.state.current_tree().settings(f'services/{service}')
        environ['chestnutshunt.service'] = service
        call = f'{environ["REQUEST_METHOD"]} {path.partition("?")[0]}'
        try:
            yield from self.checked_parts(environ, service, path, settings)
        except errors.ChestnutshuntError as exc:
            if exc.ran is None and identity.is_once(settings, call):
                exc.ran = progress.Progress.MAY_HAVE_RUN
            raise

    def run_parts(self, environ: dict[str, Any]) -> Iterator[execution.Part]:
        """Answer a trainer's call."""
        call = run_api.parse_run_path(
            environ['PATH_INFO'], environ.get('QUERY_STRING', '')
        )
        settings = self.state.current_tree().settings(f'runs/{call.run}')
        authorization = caller_parser.find_header(environ, 'Authorization')
        given = self.state.keys.identify(authorization).alt(raise_error)
        if given.unwrap().workspace != settings.workspace:
            raise errors.Forbidden('The run is of another workspace.')
        if self.state.draining.is_set():
            raise errors.Draining('This daemon is shutting down.')
        if call.step is None:
            body = caller_parser.read_body(environ, MAX_RUN_BODY)
            data = run_api.publish_version(self.state, call.run, body)
        else:
            service = self.state.current_tree().settings(
                f'services/{settings.service}'
            )
            timeout = caller_parser.parse_timeout(
                caller_parser.find_header(
                    environ, caller_parser.TIMEOUT_HEADER
                ),
                service,
            )
            deadline = self.state.clock.monotonic() + timeout
            data = run_api.fetch_step(self.state, call, deadline)
        size = ('Content-Length', str(len(data)))
        kind = ('Content-Type', 'application/x-ndjson')
        yield answer_head.AnswerHead(200, (kind, size))
        yield data

    def checked_parts(
        self,
        environ: dict[str, Any],
        service: str,
        path: str,
        settings: service_settings.ServiceSettings,
    ) -> Iterator[execution.Part]:
        """Check key and request, then yield its answer.

        A refusal of a call that may not be repeated does not know of earlier
        sends, so that only an execution says of it that it was not run.
        """
        given = self.state.keys.check(
            caller_parser.find_header(environ, 'Authorization'),
            service,
            settings,
        )
        if self.state.draining.is_set():
            raise errors.Draining('This daemon is shutting down.')
        if settings.cut_off == 'refuse':
            self.refuse_cut_off()
        allowed = given.alt(raise_error).unwrap()
        request = caller_parser.parse(
            self.state, environ, service, path, settings
        )
        started = self.state.clock.monotonic()
        yield from self.answer(request, allowed)
        self.state.metrics.requests.labels(service, 'answered').inc()
        self.state.metrics.seconds.labels(service).observe(
            self.state.clock.monotonic() - started
        )

    def refuse_cut_off(self) -> None:
        """Raise if keys could not be checked for too long."""
        if self.state.freshness.is_older_than(CUT_OFF_AFTER):
            raise errors.CutOff('Keys cannot be checked at present.')

    def answer(
        self, request: caller_request.CallerRequest, given: grant.Grant
    ) -> Iterator[execution.Part]:
        """Run a request, or join the one that a resend repeats."""
        once = identity.is_once(request.settings, request.call)
        if not once and not request.identity_header:
            running = attempt.Attempt('', request.id)
            yield from self.run(request, given, running, once)
            return
        name = identity.request_identity(
            given.workspace,
            request.service,
            f'{request.method} {request.path}',
            request.identity_header,
            request.body,
        )
        running, fresh = self.state.attempts.join_or_start(name, request.body)
        if fresh:
            yield from self.run(request, given, running, once)
            return
        yield from self.join(request, given, running)

    def join(
        self,
        request: caller_request.CallerRequest,
        given: grant.Grant,
        running: attempt.Attempt,
    ) -> Iterator[execution.Part]:
        """Yield the answer of a request that runs, or ran, here.

        The joining caller's own key is checked for each part, since it need
        not be the one that the request was begun with.
        """
        if running.body != request.body:
            raise once_execution.identity_reused()
        self.state.metrics.joined.labels(request.service).inc()
        remaining = request.deadline - self.state.clock.monotonic()
        try:
            yield running.wait_head(remaining)
            for chunk in running.follow(remaining):
                if not self.state.keys.in_force(given):
                    raise errors.Unauthorized('The key was withdrawn.')
                yield chunk
        except errors.ChestnutshuntError as exc:
            exc.ran = exc.ran or progress.Progress.MAY_HAVE_RUN
            raise

    def run(
        self,
        request: caller_request.CallerRequest,
        given: grant.Grant,
        running: attempt.Attempt,
        once: bool,
    ) -> Iterator[execution.Part]:
        """Run a request and publish its answer for resends."""
        if once:
            steps.reach('once.started')
        chosen: execution.Execution | None = None
        parts: Generator[execution.Part] = (x for x in ())
        try:
            chosen = self.make_execution(request, given, running, once)
            parts = chosen.parts()
            for part in parts:
                keep(part, running)
                yield part
            running.finish(self.state.clock.monotonic())
        except errors.ChestnutshuntError as exc:
            self.fail(running, chosen, exc)
            raise
        except GeneratorExit:
            if running.identity:
                self.run_on(parts, running, chosen)
            raise
        finally:
            parts.close()
            if not running.done:
                lost = errors.OutcomeUnknown('The answer was not finished.')
                running.finish(self.state.clock.monotonic(), lost)
            if running.identity:
                self.state.attempts.close(running)

    def run_on(
        self,
        parts: Iterator[execution.Part],
        running: attempt.Attempt,
        chosen: execution.Execution,
    ) -> None:
        """Run a request to its end though its caller has gone.

        A resend then finds the answer. Only requests with an identity are
        run on; any other is cancelled.
        """
        try:
            for part in parts:
                keep(part, running)
            running.finish(self.state.clock.monotonic())
        except errors.ChestnutshuntError as exc:
            self.fail(running, chosen, exc)

    def fail(
        self,
        running: attempt.Attempt,
        chosen: execution.Execution | None,
        error: errors.ChestnutshuntError,
    ) -> None:
        """Publish the failure of a request, and how far it had got."""
        error.ran = error.ran or (
            chosen.reported_progress() if chosen else None
        )
        running.finish(self.state.clock.monotonic(), error)

    def make_execution(
        self,
        request: caller_request.CallerRequest,
        given: grant.Grant,
        running: attempt.Attempt,
        once: bool,
    ) -> execution.Execution:
        """Return the way in which a request is run."""
        if once:
            made = once_execution.OnceExecution
        elif request.settings.protocol == 'engine':
            made = engine_execution.EngineExecution
        else:
            made = execution.Execution
        return made(self.state, request, given, running)


def keep(part: execution.Part, running: attempt.Attempt) -> None:
    """Add a part of the answer to what resends are given."""
    if isinstance(part, answer_head.AnswerHead):
        running.begin(part)
    elif running.identity:
        running.add(part)


def raise_error(error: errors.ChestnutshuntError) -> Any:
    """Raise an error that a result holds."""
    raise error
