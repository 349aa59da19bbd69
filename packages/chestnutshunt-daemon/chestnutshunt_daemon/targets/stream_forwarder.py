"""Forwards streams of events, from one target or several in turn."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import random

from chestnutshunt.attempts import progress
from chestnutshunt.deployment import route
from chestnutshunt import errors
from chestnutshunt.jobs import event_reader
from chestnutshunt.replicas import replica
from chestnutshunt.streams import origin_table
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import target_call
from chestnutshunt_daemon import target_error
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import exchange
from chestnutshunt_daemon.targets import forwarder
from chestnutshunt_daemon.targets import refusals
from chestnutshunt_daemon.targets import stream_response
from chestnutshunt_daemon.targets import stream_state
from chestnutshunt_daemon.targets import target_request
from chestnutshunt_daemon.targets import target_response

__all__ = ['StreamForwarder']

LOG = logging.getLogger(__name__)

# Time without an event after which a resumable stream goes on at another
# target. Callers wait at least that long.
EVENT_TIMEOUT_S = 2.0

# Time in which a part of a resumable stream must arrive whole, and the trailer
# after it. One that can't be resumed lasts until its caller leaves.
PART_TIMEOUT_S = 2 * EVENT_TIMEOUT_S

# Least time to read from a target, even at the deadline.
MIN_TIMEOUT_S = 0.01

# Part of a route's latency goal for which a stream waits if all targets limit
# the rate of requests.
PERMIT_WAIT_RATIO = 0.2

# Mean Retry-After for a stream of unknown origin: only a peer that could not
# be asked may know it.
UNKNOWN_ORIGIN_DELAY_S = 1.0


class StreamForwarder:
    """Forwards streams; resumable ones go on when their target fails.

    Thread-safe.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    exchanger : Exchanger
        Sends single attempts.
    rng : Random
        Draws the split between services and the jitter of retries.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        exchanger: exchange.Exchanger,
        rng: random.Random,
    ) -> None:
        self.state = state
        self.exchanger = exchanger
        self.rng = rng

    def open(
        self,
        request: target_request.TargetRequest,
        route: route.Route,
        token: cancel_token.CancelToken,
        may_send: Callable[[], bool],
    ) -> stream_response.StreamResponse:
        """Return the stream once a target has sent its head.

        Raises
        ------
        NoTarget, Quarantined
            The request has not run and will not.
        TargetFailed
            The request may have run.
        CallerLeft
            The caller disconnected.
        """
        stream = stream_state.StreamState(
            request,
            route,
            route.service_for(self.rng.random()),
            token,
            may_send,
            last_event=request.position.last_event,
            digest=forwarder.request_digest(request),
        )
        if self.is_quarantined(stream):
            raise errors.Quarantined('The request has crashed targets.')
        if stream.is_taken_up:
            self.find_origin(stream)
        stack = contextlib.ExitStack()
        try:
            response = self.connect(stream, stack)
        except BaseException:
            stack.close()
            raise
        chunks = self.chunks(stream, stack, response)
        return stream_response.StreamResponse(
            response.head, response.headers, chunks
        )

    def is_quarantined(self, stream: stream_state.StreamState) -> bool:
        """Return whether the request has crashed too many targets.

        A request that has brought events does not crash targets.
        """
        return stream.last_event is None and self.state.quarantine.refuses(
            stream.digest
        )

    def find_origin(self, stream: stream_state.StreamState) -> None:
        """Set the service and origin at which a taken-up stream goes on.

        Raises
        ------
        NoTarget
            It is not known which software version began the stream.
        """
        origin = self.state.origins.find(stream.request.position, stream.route)
        if origin is None:
            raise refusals.no_target(
                'It is not known which software version began the stream.',
                self.rng,
                UNKNOWN_ORIGIN_DELAY_S,
            )
        stream.origin = origin
        stream.origin_noted_at = self.state.clock.monotonic()
        stream.service = origin.service

    def connect(
        self, stream: stream_state.StreamState, stack: contextlib.ExitStack
    ) -> target_response.TargetResponse:
        """Try targets in turn; return the first response that has begun."""
        while True:
            target = self.choose_target(stream)
            attempt = contextlib.ExitStack()
            try:
                response = self.attempt(stream, target, attempt)
            except target_error.TargetError as exc:
                attempt.close()
                self.record_failure(stream, target, exc)
                continue
            except BaseException:
                attempt.close()
                raise
            if response.head.not_run:
                attempt.close()
                if (
                    response.head.other_process
                    and target.start_key in stream.stale_keys
                ):
                    self.record_crash(stream, target)
                self.state.replicas.record_rejection(target)
                self.state.count_request(
                    stream.request.workspace, -int(not stream.reached_count)
                )
                continue
            stream.reached_count += int(
                target.start_key not in stream.stale_keys
            )
            fault = self.fault_of(stream, target, response)
            if fault:
                attempt.close()
                LOG.info(
                    'Attempt',
                    extra={
                        'request': stream.request.id,
                        'target': target.id,
                        'outcome': fault,
                        'status': response.head.status,
                        'after': stream.last_event,
                    },
                )
                continue
            if response.head.status < 500:
                self.state.replicas.state(target).breaker.record_success()
            stream.target = target
            stack.enter_context(attempt)
            return response

    def fault_of(
        self,
        stream: stream_state.StreamState,
        target: replica.Replica,
        response: target_response.TargetResponse,
    ) -> str:
        """Return why a response is not forwarded, an empty string if it is.

        The caller of a stream that has begun can only be sent more events.
        A connection that was used before belongs to the process that is
        known; a new one may belong to the next process of the target.
        """
        if response.head.status < 300 and not response.head.signature:
            return 'unsigned'
        if stream.begun and not response.has_events:
            return 'not resumed'
        if (
            stream.last_event is not None
            and response.has_events
            and not response.reused
            and not self.state.replicas.is_current(target)
        ):
            return 'another process'
        return ''

    def choose_target(
        self, stream: stream_state.StreamState
    ) -> replica.Replica:
        """Return the next target; raises an error if there is none."""
        if stream.cancel_token.cancelled.is_set():
            raise cancel_token.CallerLeft('The caller disconnected.')
        allowed = stream.may_send() and not self.is_quarantined(stream)
        stale_target, stream.stale_target = stream.stale_target, None
        if allowed and stale_target in self.state.replicas.serving(
            stream.service
        ):
            return stale_target
        target = None
        if allowed and (stream.route.resumable or not stream.reached_count):
            if stream.reached_count < stream.route.max_attempts:
                target = self.allowed_target(stream)
        if target is not None:
            stream.tried_ids.add(target.id)
            return target
        if stream.reached_count:
            raise errors.TargetFailed(
                'The stream ended early and cannot be resumed.'
            )
        raise refusals.no_target(
            f'No target of {stream.service} can take the stream.',
            self.rng,
            self.state.permit_delay_s(stream.service),
        )

    def allowed_target(
        self, stream: stream_state.StreamState
    ) -> replica.Replica | None:
        """Return the next target, waiting for a permit if all need one."""
        view = self.state.replicas
        wanted = (stream.service, stream.tried_ids, stream.origin)
        target = view.choose(*wanted, self.may_begin_at(stream))
        limited = view.candidates(*wanted)
        if target is None and limited:
            self.state.rate_gate.wait(
                limited,
                stream.request.id,
                PERMIT_WAIT_RATIO * stream.route.goal_s,
            )
            target = view.choose(*wanted, self.may_begin_at(stream))
        return target

    def may_begin_at(
        self, stream: stream_state.StreamState
    ) -> Callable[[replica.Replica], bool]:
        """Return a function that tells which targets are preferred.

        A resumable stream begins at a software version that all daemons
        know, if one serves: a daemon that does not know the version could go
        on with the stream at another one.
        """
        if stream.origin is not None or not stream.route.resumable:
            return lambda target: True
        history = self.state.origins.history
        return lambda target: history.is_settled(target.origin)

    def attempt(
        self,
        stream: stream_state.StreamState,
        target: replica.Replica,
        stack: contextlib.ExitStack,
    ) -> target_response.TargetResponse:
        """Send the request to one target; raises `TargetError`."""
        view = self.state.replicas
        view.begin_request(target)
        stack.callback(view.end_request, target)
        timeout_s = self.remaining_s(stream)
        if stream.route.resumable:
            timeout_s = min(timeout_s, EVENT_TIMEOUT_S)
        first = not stream.reached_count
        self.state.count_request(stream.request.workspace, int(first))
        try:
            return stack.enter_context(
                self.exchanger.exchange(
                    target,
                    stream.request,
                    timeout_s,
                    stream.route.resumable
                    and target.start_key not in stream.stale_keys,
                    stream.cancel_token,
                    stream.last_event,
                )
            )
        except target_error.TargetError as exc:
            if exc.attempt_progress is progress.Progress.NOT_SENT:
                self.state.count_request(stream.request.workspace, -int(first))
            raise

    def remaining_s(self, stream: stream_state.StreamState) -> float:
        """Return the seconds until the request's deadline."""
        left_s = stream.request.deadline - self.state.clock.monotonic()
        return max(left_s, MIN_TIMEOUT_S)

    def chunks(
        self,
        stream: stream_state.StreamState,
        stack: contextlib.ExitStack,
        response: target_response.TargetResponse,
    ) -> Iterator[bytes]:
        """Yield the body; a resumable one goes on at another target."""
        with stack:
            if not response.has_events:
                yield from response.chunks(self.remaining_s(stream))
                return
            while True:
                resumed_after = stream.last_event
                outcome = 'cancelled'
                try:
                    yield from self.events(stream, response)
                    outcome = 'whole'
                    return
                except (target_error.TargetError, ValueError) as exc:
                    if stream.cancel_token.cancelled.is_set():
                        raise cancel_token.CallerLeft(
                            'The caller disconnected.'
                        ) from exc
                    outcome = str(exc)
                    if getattr(exc, 'crashed', False):
                        self.record_crash(stream, stream.target)
                finally:
                    self.log_run(stream, resumed_after, outcome)
                stack.close()
                stream.begun = True
                response = self.connect(stream, stack)

    def log_run(
        self,
        stream: stream_state.StreamState,
        resumed_after: int | None,
        outcome: str,
    ) -> None:
        """Log the end of one target's part of a stream."""
        LOG.info(
            'Stream run',
            extra={
                'request': stream.request.id,
                'begun_by': stream.request.position.begun_by,
                'target': stream.target.id,
                'software': stream.target.software,
                'after': resumed_after,
                'last': stream.last_event,
                'resumable': stream.route.resumable,
                'outcome': outcome,
            },
        )

    def events(
        self,
        stream: stream_state.StreamState,
        response: target_response.TargetResponse,
    ) -> Iterator[bytes]:
        """Yield complete events to the end of one target's stream."""
        reader = event_reader.EventReader()
        clock = self.state.clock
        last_event_at = clock.monotonic()
        part_s = PART_TIMEOUT_S if stream.route.resumable else None
        for data in response.chunks(part_s=part_s):
            silent_s = clock.monotonic() - last_event_at
            if stream.route.resumable and silent_s > EVENT_TIMEOUT_S:
                raise ValueError(f'No event for {silent_s:.1f} s.')
            for event in reader.feed(data):
                last_event_at = clock.monotonic()
                if (
                    stream.last_event is not None
                    and event.id <= stream.last_event
                ):
                    raise ValueError(f'Event {event.id} was repeated.')
                stream.last_event = event.id
                self.note_origin(stream)
                yield event.raw
        if reader.buffer.strip():
            raise ValueError('The stream ends inside an event.')

    def note_origin(self, stream: stream_state.StreamState) -> None:
        """Record the origin of a stream at its first event, then regularly."""
        origins = self.state.origins
        now = self.state.clock.monotonic()
        if stream.origin is None:
            self.state.quarantine.record_served(stream.digest)
            stream.origin = stream.target.origin
            stream.origin_noted_at = now
            if stream.route.resumable:
                origins.begin(stream.request.id, stream.origin)
        elif (
            stream.route.resumable
            and stream.begun_by
            and now - stream.origin_noted_at > origin_table.RENEWAL_S
        ):
            stream.origin_noted_at = now
            origins.renew(stream.begun_by, stream.origin)

    def record_failure(
        self,
        stream: stream_state.StreamState,
        target: replica.Replica,
        exc: target_error.TargetError,
    ) -> None:
        """Record an attempt that failed before the head of the response."""
        LOG.info(
            'Attempt',
            extra={
                'request': stream.request.id,
                'target': target.id,
                'outcome': 'failed',
                'error': exc.message,
            },
        )
        sent = exc.attempt_progress is not progress.Progress.NOT_SENT
        if exc.stale:
            stream.stale_keys.add(target.start_key)
            stream.stale_target = target
        elif not exc.withheld:
            self.state.replicas.state(target).breaker.record_failure()
        was_stale = target.start_key in stream.stale_keys
        if exc.unreachable and was_stale:
            self.record_crash(stream, target)
        elif target_call.may_have_crashed(exc, target.id, target.address):
            self.record_crash(stream, target)
        if sent and (exc.stale or not was_stale):
            stream.reached_count += 1

    def record_crash(
        self, stream: stream_state.StreamState, target: replica.Replica
    ) -> None:
        """Record that a target crashed when it began the request."""
        if stream.last_event is None:
            self.state.quarantine.record_crash(stream.digest, target.start_key)
