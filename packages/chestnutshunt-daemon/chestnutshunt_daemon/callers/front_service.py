"""Answers callers: checks, forwards, and serves batch jobs."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import json
import logging

import attrs

from chestnutshunt.deployment import route_kind
from chestnutshunt import errors
from chestnutshunt_daemon.callers import admission
from chestnutshunt_daemon.callers import admitted
from chestnutshunt_daemon.callers import caller_answer
from chestnutshunt_daemon.callers import caller_request
from chestnutshunt_daemon.callers import caller_watch
from chestnutshunt_daemon.callers import calls
from chestnutshunt_daemon.callers import dialect
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import headers
from chestnutshunt_daemon.jobs import job_api
from chestnutshunt_daemon.targets import cutter
from chestnutshunt_daemon.targets import forwarder
from chestnutshunt_daemon.targets import stream_forwarder
from chestnutshunt_daemon.targets import target_request

__all__ = ['FrontService']

LOG = logging.getLogger(__name__)

ANSWER_S = 0.05
"""Seconds of a request's time that are left for the answer's way back."""

JSON = ('Content-Type', 'application/json')

NOT_PASSED_ON = headers.UNFORWARDED_HEADERS | {'authorization'}
"""Headers that no target sees as they were sent."""


class FrontService:
    """Handles callers' requests, each in a thread of the server.

    Parameters
    ----------
    state : FleetState
        The daemon.
    speech : Dialect
        What callers speak.
    checks : Admission
        Finds route and workspace.
    forwards : Forwarder
        Sends requests to targets.
    streams : StreamForwarder
        Passes streams on.
    jobs : JobApi
        Serves batch jobs.
    watch : CallerWatch
        Notices callers that leave.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        speech: dialect.Dialect,
        checks: admission.Admission,
        forwards: forwarder.Forwarder,
        streams: stream_forwarder.StreamForwarder,
        jobs: job_api.JobApi,
        watch: caller_watch.CallerWatch,
    ) -> None:
        self.state = state
        self.speech = speech
        self.checks = checks
        self.forwards = forwards
        self.streams = streams
        self.jobs = jobs
        self.watch = watch
        self.serve = functools.singledispatch(self.serve_unknown)
        self.serve.register(calls.Forward, self.serve_forward)
        self.serve.register(calls.ReadJob, self.serve_read)
        self.serve.register(calls.ReadItem, self.serve_item)
        self.serve.register(calls.EndJob, self.serve_end)

    def handle(
        self, request: caller_request.CallerRequest
    ) -> caller_answer.CallerAnswer:
        """Answer one request; every error becomes a typed answer."""
        call = self.speech.call_of(
            request.method, request.target, request.headers
        )
        error = ''
        try:
            answer = self.serve(call, request)
        except errors.ChestnutshuntError as exc:
            answer = refuse(exc)
            error = str(exc)
        except Exception as exc:
            LOG.exception('A request failed for a reason not foreseen')
            answer = refuse(errors.ChestnutshuntError(repr(exc)))
            error = repr(exc)
        seconds = self.state.clock.monotonic() - request.arrived_at
        self.note(request, call, answer.status, seconds, error)
        return answer

    def note(
        self,
        request: caller_request.CallerRequest,
        call: calls.Call,
        status: int,
        seconds: float,
        error: str,
    ) -> None:
        """Log an answer and count it."""
        kind = type(call).__name__
        self.state.metrics.requests.labels(kind, str(status)).inc()
        self.state.metrics.request_seconds.labels(kind).observe(seconds)
        if kind in ('ReadJob', 'ReadItem') and status == 200:
            return
        held = self.state.deployment
        LOG.info(
            'Answered',
            extra={
                'request': self.speech.request_id(request.headers),
                'call': kind,
                'asked': attrs.asdict(call),
                'status': status,
                'seconds': round(seconds, 4),
                'config': held.version if held else None,
                'config_age_s': round(self.state.config_age_s(), 3),
                'error': error,
            },
        )

    def serve_unknown(
        self, call: calls.Call, request: caller_request.CallerRequest
    ) -> caller_answer.CallerAnswer:
        """Refuse a call that nothing serves."""
        raise errors.RouteUnknown(f'No such call: {request.path}.')

    def serve_forward(
        self, call: calls.Forward, request: caller_request.CallerRequest
    ) -> caller_answer.CallerAnswer:
        """Forward a request, or accept a batch job."""
        key = self.speech.key(request.headers)
        granted = self.checks.admit(request.host, request.path, key)
        if granted.route.kind is route_kind.RouteKind.JOBS:
            return self.serve_submit(request, granted)
        sent = self.target_request(request, granted)
        cutting = cutter.Cutter()
        may_send = functools.partial(
            self.checks.still_admitted,
            granted,
            request.host,
            request.path,
            key,
        )
        if granted.route.kind is route_kind.RouteKind.STREAM:
            return self.serve_stream(request, granted, sent, cutting, may_send)
        with self.watch.on_leave(request.connection, cutting.cut):
            found = self.forwards.forward(
                sent, granted.route, cutting, may_send
            )
        return caller_answer.CallerAnswer(
            found.facts.status, found.headers, found.body
        )

    def serve_stream(
        self,
        request: caller_request.CallerRequest,
        granted: admitted.Admitted,
        sent: target_request.TargetRequest,
        cutting: cutter.Cutter,
        may_send: Callable[[], bool],
    ) -> caller_answer.CallerAnswer:
        """Pass a stream on as it arrives."""
        stack = contextlib.ExitStack()
        stack.enter_context(
            self.watch.on_leave(request.connection, cutting.cut)
        )
        try:
            found = self.streams.open(sent, granted.route, cutting, may_send)
        except BaseException:
            stack.close()
            raise
        return caller_answer.CallerAnswer(
            found.facts.status,
            found.headers,
            stream=closing_after(stack, found.chunks),
        )

    def target_request(
        self,
        request: caller_request.CallerRequest,
        granted: admitted.Admitted,
    ) -> target_request.TargetRequest:
        """Return the request as targets get it."""
        own = self.forwards.exchanger.dialect.own_headers
        named = {
            name.strip().lower()
            for name in request.headers.get('connection', '').split(',')
        }
        left_out = NOT_PASSED_ON | own | named
        return target_request.TargetRequest(
            id=self.speech.request_id(request.headers),
            method=request.method,
            path=request.target,
            host=request.host,
            headers=tuple(
                (name, value)
                for name, value in request.headers.items()
                if name not in left_out
            ),
            body=request.body,
            workspace=granted.workspace,
            deadline=self.deadline(request, granted),
        )

    def deadline(
        self,
        request: caller_request.CallerRequest,
        granted: admitted.Admitted,
    ) -> float:
        """Return when nobody waits for the answer any more."""
        seconds = granted.route.timeout_s
        remaining = self.speech.remaining_s(request.headers)
        if remaining is not None:
            seconds = min(seconds, remaining)
        return request.arrived_at + seconds - ANSWER_S

    def serve_submit(
        self,
        request: caller_request.CallerRequest,
        granted: admitted.Admitted,
    ) -> caller_answer.CallerAnswer:
        """Accept a batch job."""
        job_id = self.speech.request_id(request.headers)
        made = self.speech.decode_job(
            request.body,
            job_id,
            request.host,
            request.path,
            self.state.time.now(),
        )
        if self.state.leaving.is_set():
            raise errors.Draining(
                'The daemon is shutting down.', retry_after=0.1
            )
        self.jobs.submit(attrs.evolve(made, workspace=granted.workspace))
        return caller_answer.CallerAnswer(202)

    def serve_read(
        self, call: calls.ReadJob, request: caller_request.CallerRequest
    ) -> caller_answer.CallerAnswer:
        """List results of a job."""
        workspace = self.checks.workspace(self.speech.key(request.headers))
        page = self.jobs.read(
            call.job_id, workspace, max(call.after, 0), call.wait_s
        )
        body = self.speech.encode_page(page)
        return caller_answer.CallerAnswer(200, [JSON], body)

    def serve_item(
        self, call: calls.ReadItem, request: caller_request.CallerRequest
    ) -> caller_answer.CallerAnswer:
        """Return the body of an item."""
        workspace = self.checks.workspace(self.speech.key(request.headers))
        body = self.jobs.item_body(call.job_id, workspace, call.item_id)
        return caller_answer.CallerAnswer(200, [], body)

    def serve_end(
        self, call: calls.EndJob, request: caller_request.CallerRequest
    ) -> caller_answer.CallerAnswer:
        """End a job."""
        workspace = self.checks.workspace(self.speech.key(request.headers))
        self.jobs.end(call.job_id, workspace)
        return caller_answer.CallerAnswer(200)


def closing_after(
    stack: contextlib.ExitStack, chunks: Iterator[bytes]
) -> Iterator[bytes]:
    """Yield chunks and close a stack after the last one."""
    with stack:
        yield from chunks


def refuse(
    exc: errors.ChestnutshuntError,
) -> caller_answer.CallerAnswer:
    """Return the answer for an error."""
    sent = [JSON]
    if exc.retry_after is not None:
        sent.append(('Retry-After', str(exc.retry_after)))
    value = {
        'error': exc.kind,
        'message': exc.message,
        'remedy': exc.remedy,
    }
    return caller_answer.CallerAnswer(
        exc.status, sent, json.dumps(value).encode()
    )
