"""Passes a stream of events on, from one target or several in turn."""

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
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon import target_error
from chestnutshunt_daemon.targets import cutter
from chestnutshunt_daemon.targets import exchange
from chestnutshunt_daemon.targets import refusals
from chestnutshunt_daemon.targets import stream_answer
from chestnutshunt_daemon.targets import streaming
from chestnutshunt_daemon.targets import target_answer
from chestnutshunt_daemon.targets import target_request

__all__ = ['StreamForwarder']

LOG = logging.getLogger(__name__)

SILENCE_S = 2.0
"""Seconds between two events after which a target is left, where the stream
may go on at another; callers wait at least that long."""

EVENT_STREAM = 'text/event-stream'


class StreamForwarder:
    """Forwards streams; one that may be resumed survives its target.

    Parameters
    ----------
    state : FleetState
        The daemon.
    exchanger : Exchanger
        Sends single attempts.
    chance : Random
        Spreads retries and splits.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        exchanger: exchange.Exchanger,
        chance: random.Random,
    ) -> None:
        self.state = state
        self.exchanger = exchanger
        self.chance = chance

    def open(
        self,
        request: target_request.TargetRequest,
        taken: route.Route,
        cutting: cutter.Cutter,
        may_send: Callable[[], bool],
    ) -> stream_answer.StreamAnswer:
        """Return the stream once a target has begun to answer.

        Raises
        ------
        NoTarget
            The request has not run and will not.
        TargetFailed
            It may have run.
        """
        stream = streaming.Streaming(
            request,
            taken,
            taken.service_for(self.chance.random()),
            cutting,
            may_send,
        )
        stack = contextlib.ExitStack()
        try:
            answer = self.connect(stream, stack)
        except BaseException:
            stack.close()
            raise
        chunks = self.chunks(stream, stack, answer)
        return stream_answer.StreamAnswer(answer.facts, answer.headers, chunks)

    def connect(
        self, stream: streaming.Streaming, stack: contextlib.ExitStack
    ) -> target_answer.Answer:
        """Return an answer that has begun, trying one target after another."""
        while True:
            chosen = self.choose(stream)
            attempt = contextlib.ExitStack()
            try:
                answer = self.attempt(stream, chosen, attempt)
            except target_error.TargetError as exc:
                attempt.close()
                self.note_failure(stream, chosen, exc)
                continue
            except BaseException:
                attempt.close()
                raise
            if answer.facts.not_run:
                attempt.close()
                self.state.replicas.note_full(chosen)
                self.state.count_request(
                    stream.request.workspace, -int(not stream.reached)
                )
                continue
            stream.reached += 1
            if answer.facts.status < 300 and not answer.facts.signature:
                attempt.close()
                LOG.info(
                    'Attempt',
                    extra={
                        'request': stream.request.id,
                        'target': chosen.id,
                        'outcome': 'unsigned',
                    },
                )
                continue
            if answer.facts.status < 500:
                self.state.replicas.state(chosen).breaker.succeeded()
            stack.enter_context(attempt)
            return answer

    def choose(self, stream: streaming.Streaming) -> replica.Replica:
        """Return the next target; raises if there is none."""
        if stream.cutter.left.is_set():
            raise cutter.CallerLeft('The caller left.')
        allowed = stream.may_send()
        chosen = None
        if allowed and (stream.route.resumable or not stream.reached):
            if stream.reached < stream.route.attempts:
                chosen = self.state.replicas.choose(
                    stream.service, stream.asked
                )
        if chosen is not None:
            stream.asked.add(chosen.id)
            return chosen
        if stream.reached:
            raise errors.TargetFailed('The stream broke off.')
        raise refusals.not_run(
            f'No target of {stream.service} takes the stream.', self.chance
        )

    def attempt(
        self,
        stream: streaming.Streaming,
        chosen: replica.Replica,
        stack: contextlib.ExitStack,
    ) -> target_answer.Answer:
        """Send the request to one target and read the head."""
        view = self.state.replicas
        view.begin(chosen)
        stack.callback(view.end, chosen)
        left = stream.request.deadline - self.state.clock.monotonic()
        silence = min(left, SILENCE_S) if stream.route.resumable else left
        first = stream.last_event is None and not stream.reached
        self.state.count_request(stream.request.workspace, int(first))
        try:
            return stack.enter_context(
                self.exchanger.answer_of(
                    chosen,
                    stream.request,
                    max(silence, 0.01),
                    stream.route.resumable,
                    stream.cutter,
                    stream.last_event,
                )
            )
        except target_error.TargetError as exc:
            if exc.attempt_progress is progress.Progress.NOT_SENT:
                self.state.count_request(stream.request.workspace, -int(first))
            raise

    def chunks(
        self,
        stream: streaming.Streaming,
        stack: contextlib.ExitStack,
        answer: target_answer.Answer,
    ) -> Iterator[bytes]:
        """Yield the body, going on at another target where that is allowed."""
        with stack:
            kinds = [
                v for k, v in answer.headers if k.lower() == 'content-type'
            ]
            if not kinds or not kinds[0].startswith(EVENT_STREAM):
                yield from answer.chunks()
                return
            while True:
                try:
                    yield from self.events(stream, answer)
                    return
                except (target_error.TargetError, ValueError) as exc:
                    if stream.cutter.left.is_set():
                        raise cutter.CallerLeft('The caller left.') from exc
                    LOG.info(
                        'Stream broke off',
                        extra={
                            'request': stream.request.id,
                            'target': answer.name,
                            'last': stream.last_event,
                            'resumable': stream.route.resumable,
                            'error': str(exc),
                        },
                    )
                stack.close()
                answer = self.connect(stream, stack)

    def events(
        self, stream: streaming.Streaming, answer: target_answer.Answer
    ) -> Iterator[bytes]:
        """Yield whole events to the end of one target's stream."""
        reader = event_reader.EventReader()
        for data in answer.chunks():
            for found in reader.feed(data):
                if (
                    stream.last_event is not None
                    and found.id <= stream.last_event
                ):
                    raise ValueError(f'Event {found.id} came again.')
                stream.last_event = found.id
                yield found.raw
        if reader.rest.strip():
            raise ValueError('The stream ends inside an event.')

    def note_failure(
        self,
        stream: streaming.Streaming,
        chosen: replica.Replica,
        exc: target_error.TargetError,
    ) -> None:
        """Note an attempt that did not begin to answer."""
        LOG.info(
            'Attempt',
            extra={
                'request': stream.request.id,
                'target': chosen.id,
                'outcome': 'failed',
                'error': exc.message,
            },
        )
        if not exc.stale:
            self.state.replicas.state(chosen).breaker.failed()
        if exc.attempt_progress is not progress.Progress.NOT_SENT:
            stream.reached += 1
