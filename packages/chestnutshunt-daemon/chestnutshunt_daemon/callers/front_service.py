"""Handles callers' requests: admission, forwarding and batch jobs."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import io
import logging
import math

import attrs

from chestnutshunt.deployment import route_kind
from chestnutshunt import errors
from chestnutshunt_daemon.callers import admission
from chestnutshunt_daemon.callers import caller_codec
from chestnutshunt_daemon.callers import caller_request
from chestnutshunt_daemon.callers import caller_response
from chestnutshunt_daemon.callers import caller_watch
from chestnutshunt_daemon.callers import calls
from chestnutshunt_daemon.callers import error_response
from chestnutshunt_daemon.callers import request_grant
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import headers
from chestnutshunt_daemon.jobs import job_api
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import forwarder
from chestnutshunt_daemon.targets import stream_forwarder
from chestnutshunt_daemon.targets import target_request

__all__ = ['FrontService']

LOG = logging.getLogger(__name__)

# Part of a request's time that is reserved for sending the response.
RESPONSE_MARGIN_S = 0.05

# Longest time for a call about a job, beside the wait for results.
JOB_CALL_S = 2.0

# Retry-After of requests that come too late in a shutdown: other daemons take
# them at once.
DRAINING_RETRY_S = 0.05

# Headers of the caller that are not forwarded to targets.
NOT_FORWARDED = headers.UNFORWARDED_HEADERS | {'authorization'}


class FrontService:
    """Handles callers' requests; called from the threads of the server.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    codec : CallerCodec
        Decodes requests and encodes lists of results.
    admission : Admission
        Finds route and workspace.
    forwarder : Forwarder
        Forwards requests to targets.
    stream_forwarder : StreamForwarder
        Forwards streams.
    jobs : JobApi
        Serves batch jobs.
    watch : CallerWatch
        Detects callers that disconnect.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        codec: caller_codec.CallerCodec,
        admission: admission.Admission,
        forwarder: forwarder.Forwarder,
        stream_forwarder: stream_forwarder.StreamForwarder,
        jobs: job_api.JobApi,
        watch: caller_watch.CallerWatch,
    ) -> None:
        self.state = state
        self.codec = codec
        self.admission = admission
        self.forwarder = forwarder
        self.stream_forwarder = stream_forwarder
        self.jobs = jobs
        self.watch = watch
        self.open_tokens: set[cancel_token.CancelToken] = set()
        self.serve = functools.singledispatch(self.serve_unknown)
        self.serve.register(calls.Forward, self.serve_forward)
        self.serve.register(calls.ReadJob, self.serve_read)
        self.serve.register(calls.ReadItem, self.serve_item)
        self.serve.register(calls.EndJob, self.serve_end)

    def handle(
        self, request: caller_request.CallerRequest
    ) -> caller_response.CallerResponse:
        """Return the response to one request, also if an error is raised."""
        call = self.codec.decode_call(
            request.method, request.target, request.headers
        )
        error = ''
        try:
            response = self.serve(call, request)
        except cancel_token.CallerLeft as exc:
            response = error_response.error_response(self.stopped_error(exc))
            error = str(exc)
        except errors.ChestnutshuntError as exc:
            response = error_response.error_response(exc)
            error = str(exc)
        except Exception as exc:
            LOG.exception('Unexpected error while handling a request')
            response = error_response.error_response(
                errors.ChestnutshuntError(repr(exc))
            )
            error = repr(exc)
        seconds = self.state.clock.monotonic() - request.arrived_at
        self.record_response(request, call, response.status, seconds, error)
        return response

    def stopped_error(
        self, exc: cancel_token.CallerLeft
    ) -> errors.ChestnutshuntError:
        """Return the error of a request that was cancelled.

        At the end of a shutdown that was not its caller's doing.
        """
        if not self.is_stopping:
            return exc
        return errors.OutcomeUnknown(
            'The daemon was stopped before it had the response.'
        )

    @property
    def is_stopping(self) -> bool:
        """True once the time to finish requests in a shutdown has passed."""
        return self.state.clock.monotonic() >= self.state.stop_at

    def stop_requests(self) -> None:
        """Cancel all open requests, so that they are answered now."""
        for token in list(self.open_tokens):
            token.cancel()

    @contextlib.contextmanager
    def open_request(
        self, request: caller_request.CallerRequest
    ) -> Iterator[cancel_token.CancelToken]:
        """Yield what cancels a request that its caller waits for."""
        token = cancel_token.CancelToken()
        self.open_tokens.add(token)
        try:
            with self.watch.on_disconnect(request.connection, token.cancel):
                yield token
        finally:
            self.open_tokens.discard(token)

    def refuse_late(self, end_at: float) -> None:
        """Raise `Draining` if a request may outlast this daemon.

        Parameters
        ----------
        end_at : float
            Latest end of the request, as monotonic time in seconds.
        """
        if end_at > self.state.stop_at:
            raise errors.Draining(
                'The daemon is shutting down.', retry_after_s=DRAINING_RETRY_S
            )

    def is_job(self, host: str, path: str) -> bool:
        """Return whether requests of a host and path submit jobs."""
        current = self.state.deployment
        route = current.match_route(host, path) if current else None
        return route is not None and route.kind is route_kind.RouteKind.JOBS

    def record_response(
        self,
        request: caller_request.CallerRequest,
        call: calls.Call,
        status: int,
        seconds: float,
        error: str,
    ) -> None:
        """Log a response and update the metrics."""
        kind = type(call).__name__
        self.state.metrics.requests.labels(kind, str(status)).inc()
        self.state.metrics.request_seconds.labels(kind).observe(seconds)
        if kind in ('ReadJob', 'ReadItem') and status == 200:
            return
        current = self.state.deployment
        LOG.info(
            'Answered',
            extra={
                'request': self.codec.request_id(request.headers),
                'call': kind,
                'asked': attrs.asdict(call),
                'status': status,
                'seconds': round(seconds, 4),
                'config': current.version if current else None,
                'config_age_s': round(self.state.config_age_s(), 3),
                'error': error,
            },
        )

    def serve_unknown(
        self, call: calls.Call, request: caller_request.CallerRequest
    ) -> caller_response.CallerResponse:
        """Raise `RouteUnknown` for a type of call without a handler."""
        raise errors.RouteUnknown(
            f'No call is defined for path {request.path}.'
        )

    def serve_forward(
        self, call: calls.Forward, request: caller_request.CallerRequest
    ) -> caller_response.CallerResponse:
        """Forward a request, or accept a job on a job route."""
        key = self.codec.key(request.headers)
        grant = self.admission.admit(request.host, request.path, key)
        if grant.route.kind is route_kind.RouteKind.JOBS:
            return self.serve_submit(request, grant)
        outgoing = self.target_request(request, grant)
        is_stream = grant.route.kind is route_kind.RouteKind.STREAM
        # A stream may go on beyond the deadline of its first event.
        self.refuse_late(math.inf if is_stream else outgoing.deadline)
        may_send = functools.partial(
            self.admission.is_still_admitted,
            grant,
            request.host,
            request.path,
            key,
        )
        if is_stream:
            return self.serve_stream(request, grant, outgoing, may_send)
        with self.open_request(request) as token:
            response = self.forwarder.forward(
                outgoing, grant.route, token, may_send
            )
        return caller_response.CallerResponse(
            response.head.status, response.headers, response.body
        )

    def serve_stream(
        self,
        request: caller_request.CallerRequest,
        grant: request_grant.RequestGrant,
        outgoing: target_request.TargetRequest,
        may_send: Callable[[], bool],
    ) -> caller_response.CallerResponse:
        """Forward a stream as it arrives."""
        stack = contextlib.ExitStack()
        token = stack.enter_context(self.open_request(request))
        try:
            response = self.stream_forwarder.open(
                outgoing, grant.route, token, may_send
            )
        except BaseException:
            stack.close()
            raise
        return caller_response.CallerResponse(
            response.head.status,
            response.headers,
            stream=close_after(stack, response.chunks),
        )

    def target_request(
        self,
        request: caller_request.CallerRequest,
        grant: request_grant.RequestGrant,
    ) -> target_request.TargetRequest:
        """Return the request to send to targets."""
        reserved = self.forwarder.exchanger.codec.reserved_headers
        hop_by_hop = {
            name.strip().lower()
            for name in request.headers.get('connection', '').split(',')
        }
        dropped = NOT_FORWARDED | reserved | hop_by_hop
        return target_request.TargetRequest(
            id=self.codec.request_id(request.headers),
            method=request.method,
            path=request.target,
            host=request.host,
            headers=tuple(
                (name, value)
                for name, value in request.headers.items()
                if name not in dropped
            ),
            # The route may have been one of jobs when the body was read.
            body=request.whole_body(),
            workspace=grant.workspace,
            deadline=self.deadline(request, grant),
            position=self.codec.stream_position(request.headers),
            cover_answer=request.cover_answer,
        )

    def deadline(
        self,
        request: caller_request.CallerRequest,
        grant: request_grant.RequestGrant,
    ) -> float:
        """Return the monotonic time after which the caller stops waiting."""
        seconds = grant.route.timeout_s
        remaining = self.codec.remaining_s(request.headers)
        if remaining is not None:
            seconds = min(seconds, remaining)
        return request.arrived_at + seconds - RESPONSE_MARGIN_S

    def serve_submit(
        self,
        request: caller_request.CallerRequest,
        grant: request_grant.RequestGrant,
    ) -> caller_response.CallerResponse:
        """Accept a batch job; raises `Draining` during a shutdown."""
        job_id = self.codec.request_id(request.headers)
        body = request.parts or io.BytesIO(request.body)
        submitted = self.codec.decode_job(
            body,
            job_id,
            request.host,
            request.path,
            self.state.time.now(),
            request.cover_job,
        )
        if self.state.leaving.is_set():
            raise errors.Draining(
                'The daemon is shutting down.', retry_after_s=0.1
            )
        self.jobs.submit(attrs.evolve(submitted, workspace=grant.workspace))
        return caller_response.CallerResponse(202)

    def serve_read(
        self, call: calls.ReadJob, request: caller_request.CallerRequest
    ) -> caller_response.CallerResponse:
        """List results of a job."""
        self.refuse_late(self.job_call_end())
        workspace = self.admission.workspace(self.codec.key(request.headers))
        left_s = self.state.stop_at - self.job_call_end()
        page = self.jobs.read(
            call.job_id,
            workspace,
            max(call.after, 0),
            min(call.wait_s, left_s),
        )
        # The text of the response, and its bytes.
        request.cover_answer(2 * sum(len(x.text) for x in page.results))
        body = self.codec.encode_page(page)
        return caller_response.CallerResponse(
            200, [error_response.JSON_HEADER], body
        )

    def job_call_end(self) -> float:
        """Return when a call about a job that starts now ends at the latest.

        The wait for results comes on top.
        """
        return self.state.clock.monotonic() + JOB_CALL_S

    def serve_item(
        self, call: calls.ReadItem, request: caller_request.CallerRequest
    ) -> caller_response.CallerResponse:
        """Return the body of an item."""
        self.refuse_late(self.job_call_end())
        workspace = self.admission.workspace(self.codec.key(request.headers))
        body = self.jobs.item_body(call.job_id, workspace, call.item_id)
        return caller_response.CallerResponse(200, [], body, is_shared=True)

    def serve_end(
        self, call: calls.EndJob, request: caller_request.CallerRequest
    ) -> caller_response.CallerResponse:
        """End a job."""
        self.refuse_late(self.job_call_end())
        workspace = self.admission.workspace(self.codec.key(request.headers))
        self.jobs.end(call.job_id, workspace)
        return caller_response.CallerResponse(200)


def close_after(
    stack: contextlib.ExitStack, chunks: Iterator[bytes]
) -> Iterator[bytes]:
    """Yield chunks; close the stack after the last one or an error."""
    with stack:
        yield from chunks
