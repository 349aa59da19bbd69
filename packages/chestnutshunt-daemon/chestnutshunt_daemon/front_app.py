"""WSGI application of the caller listener."""

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
MAX_RUN_BODY_BYTES = 4096

# Time without the platform after which services with cut_off = refuse do so.
CUT_OFF_AFTER_S = 5.0


class FrontApplication:
    """Serves the requests of callers and trainers.

    Parameters
    ----------
    state : Node
        Shared state of the daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        environ['chestnutshunt.id'] = caller_parser.new_request_id()
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.state.count_request())
            try:
                parts = self.parts(environ)
                head = next(parts)
                first = next(parts, b'')
            except errors.ChestnutshuntError as exc:
                return self.send_error(environ, start_response, exc)
            except Exception:
                LOG.exception(
                    'Request %s failed unexpectedly',
                    environ['chestnutshunt.id'],
                )
                return self.send_error(
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

    def send_error(
        self,
        environ: dict[str, Any],
        start_response: Callable,
        error: errors.ChestnutshuntError,
    ) -> Iterable[bytes]:
        """Respond with a typed error."""
        payload = error_reply.render_error(error, environ['chestnutshunt.id'])
        service = environ.get('chestnutshunt.service', '(none)')
        self.state.metrics.requests.labels(service, error.kind).inc()
        LOG.info(
            'Request refused: %s',
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
        """Yield the head and the body chunks of the response."""
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
            if exc.progress is None and identity.is_once(settings, call):
                exc.progress = progress.Progress.MAY_HAVE_RUN
            raise

    def run_parts(self, environ: dict[str, Any]) -> Iterator[execution.Part]:
        """Handle a trainer's call: fetch a step or publish a version."""
        call = run_api.parse_run_path(
            environ['PATH_INFO'], environ.get('QUERY_STRING', '')
        )
        settings = self.state.current_tree().settings(f'runs/{call.run}')
        authorization = caller_parser.find_header(environ, 'Authorization')
        identified = self.state.key_ring.authenticate(authorization).alt(
            raise_error
        )
        if identified.unwrap().workspace != settings.workspace:
            raise errors.Forbidden('The run belongs to another workspace.')
        if self.state.draining.is_set():
            raise errors.Draining('This daemon is shutting down.')
        if call.step is None:
            body = caller_parser.read_body(environ, MAX_RUN_BODY_BYTES)
            data = run_api.publish_version(self.state, call.run, body)
        else:
            service = self.state.current_tree().settings(
                f'services/{settings.service}'
            )
            timeout_s = caller_parser.parse_timeout(
                caller_parser.find_header(
                    environ, caller_parser.TIMEOUT_HEADER
                ),
                service,
            )
            deadline = self.state.clock.monotonic() + timeout_s
            data = run_api.fetch_step(self.state, call, deadline)
        length_header = ('Content-Length', str(len(data)))
        type_header = ('Content-Type', 'application/x-ndjson')
        yield answer_head.AnswerHead(200, (type_header, length_header))
        yield data

    def checked_parts(
        self,
        environ: dict[str, Any],
        service: str,
        path: str,
        settings: service_settings.ServiceSettings,
    ) -> Iterator[execution.Part]:
        """Check the key and the request, then yield the response.

        An error raised here for a call that runs at most once cannot rule
        out that an earlier send of it has run. Only an execution may report
        such a call as not run.
        """
        checked_key = self.state.key_ring.authorize(
            caller_parser.find_header(environ, 'Authorization'),
            service,
            settings,
        )
        if self.state.draining.is_set():
            raise errors.Draining('This daemon is shutting down.')
        if settings.cut_off == 'refuse':
            self.refuse_cut_off()
        key_grant = checked_key.alt(raise_error).unwrap()
        request = caller_parser.parse(
            self.state, environ, service, path, settings
        )
        started_at = self.state.clock.monotonic()
        yield from self.run_or_join(request, key_grant)
        self.state.metrics.requests.labels(service, 'answered').inc()
        self.state.metrics.request_seconds.labels(service).observe(
            self.state.clock.monotonic() - started_at
        )

    def refuse_cut_off(self) -> None:
        """Raise `CutOff` if the configuration of keys is too old."""
        if self.state.freshness.is_older_than(CUT_OFF_AFTER_S):
            raise errors.CutOff('Keys cannot be checked at present.')

    def run_or_join(
        self, request: caller_request.CallerRequest, key_grant: grant.Grant
    ) -> Iterator[execution.Part]:
        """Run a request, or join the attempt that it is a resend of."""
        at_most_once = identity.is_once(request.settings, request.call)
        if not at_most_once and not request.identity_header:
            current_attempt = attempt.Attempt('', request.id)
            yield from self.run(
                request, key_grant, current_attempt, at_most_once
            )
            return
        request_identity = identity.request_identity(
            key_grant.workspace,
            request.service,
            f'{request.method} {request.path}',
            request.identity_header,
            request.body,
        )
        current_attempt, is_new = self.state.attempts.join_or_start(
            request_identity, identity.content_digest(request.body)
        )
        if is_new:
            yield from self.run(
                request, key_grant, current_attempt, at_most_once
            )
            return
        yield from self.join(request, key_grant, current_attempt)

    def join(
        self,
        request: caller_request.CallerRequest,
        key_grant: grant.Grant,
        current_attempt: attempt.Attempt,
    ) -> Iterator[execution.Part]:
        """Yield the response of an attempt that runs, or ran, here.

        The key of the joining caller is checked for each chunk, since it may
        differ from the key that started the attempt.
        """
        body_digest = identity.content_digest(request.body)
        if current_attempt.body_digest != body_digest:
            raise once_execution.identity_reused()
        self.state.metrics.joined.labels(request.service).inc()
        remaining_s = request.deadline - self.state.clock.monotonic()
        try:
            yield current_attempt.wait_head(remaining_s)
            for chunk in current_attempt.stream_body(remaining_s):
                if not self.state.key_ring.is_in_force(key_grant):
                    raise errors.Unauthorized('The key was withdrawn.')
                yield chunk
        except errors.ChestnutshuntError as exc:
            exc.progress = exc.progress or progress.Progress.MAY_HAVE_RUN
            raise

    def run(
        self,
        request: caller_request.CallerRequest,
        key_grant: grant.Grant,
        current_attempt: attempt.Attempt,
        at_most_once: bool,
    ) -> Iterator[execution.Part]:
        """Run a request and publish its response for resends."""
        if at_most_once:
            steps.reach('once.started')
        current_execution: execution.Execution | None = None
        parts: Generator[execution.Part] = (part for part in ())
        try:
            current_execution = self.make_execution(
                request, key_grant, current_attempt, at_most_once
            )
            parts = current_execution.parts()
            for part in parts:
                publish_part(part, current_attempt)
                yield part
            current_attempt.finish(self.state.clock.monotonic())
        except errors.ChestnutshuntError as exc:
            self.publish_failure(current_attempt, current_execution, exc)
            raise
        except GeneratorExit:
            if current_attempt.identity:
                self.complete_without_caller(
                    parts, current_attempt, current_execution
                )
            raise
        finally:
            parts.close()
            if not current_attempt.done:
                error = errors.OutcomeUnknown(
                    'The response was not completed.'
                )
                current_attempt.finish(self.state.clock.monotonic(), error)
            if current_attempt.identity:
                self.state.attempts.close(current_attempt)

    def complete_without_caller(
        self,
        parts: Iterator[execution.Part],
        current_attempt: attempt.Attempt,
        current_execution: execution.Execution,
    ) -> None:
        """Complete a request whose caller has disconnected.

        A resend then finds the response. Requests without an identity are
        cancelled instead.
        """
        try:
            for part in parts:
                publish_part(part, current_attempt)
            current_attempt.finish(self.state.clock.monotonic())
        except errors.ChestnutshuntError as exc:
            self.publish_failure(current_attempt, current_execution, exc)

    def publish_failure(
        self,
        current_attempt: attempt.Attempt,
        current_execution: execution.Execution | None,
        error: errors.ChestnutshuntError,
    ) -> None:
        """Publish the error of a request, with its progress."""
        error.progress = error.progress or (
            current_execution.reported_progress()
            if current_execution
            else None
        )
        current_attempt.finish(self.state.clock.monotonic(), error)

    def make_execution(
        self,
        request: caller_request.CallerRequest,
        key_grant: grant.Grant,
        current_attempt: attempt.Attempt,
        at_most_once: bool,
    ) -> execution.Execution:
        """Create the execution that fits the call and the service."""
        if at_most_once:
            execution_class = once_execution.OnceExecution
        elif request.settings.protocol == 'engine':
            execution_class = engine_execution.EngineExecution
        else:
            execution_class = execution.Execution
        return execution_class(self.state, request, key_grant, current_attempt)


def publish_part(
    part: execution.Part, current_attempt: attempt.Attempt
) -> None:
    """Publish a part of the response for resends."""
    if isinstance(part, answer_head.AnswerHead):
        current_attempt.publish_head(part)
    elif current_attempt.identity:
        current_attempt.add_chunk(part)


def raise_error(error: errors.ChestnutshuntError) -> Any:
    """Raise the error of a failed result."""
    raise error
