"""Serves the calls of trainers: fetch a step, publish a weight version."""

from collections.abc import Iterator
import json
import logging
from urllib import parse

import attrs
import grpc
from returns import result

from chestnutshunt import errors
from chestnutshunt.membership import member
from chestnutshunt.routing import rendezvous
from chestnutshunt_daemon import node
from chestnutshunt_daemon import silence_limit
from chestnutshunt_daemon.wire import peer_pb2

__all__ = ['RunCall', 'fetch_step', 'parse_run_path', 'publish_version']

LOG = logging.getLogger(__name__)

WEIGHTS_KIND = 'weights'
RETRY_PAUSE_S = 0.1
MAX_WRITE_ATTEMPT_COUNT = 5
# A daemon that sends no part of its stream for so long is skipped.
SILENCE_TIMEOUT_S = 1.5
MIN_CALL_TIMEOUT_S = 0.01
MAX_NUMBER_DIGIT_COUNT = 15


@attrs.frozen
class RunCall:
    """A trainer's call.

    Attributes
    ----------
    run : str
        Training run.
    step : int or None
        Step to fetch; ``None`` for a call that publishes weights.
    version : int
        The trainer's weight version, 0 if it did not say.
    """

    run: str
    step: int | None = None
    version: int = 0


def parse_run_path(path: str, query: str) -> RunCall:
    """Parse ``/v1/runs/RUN/steps/N?version=V`` or ``/v1/runs/RUN/weights``.

    Raises
    ------
    RouteUnknown, BadRequest
        The path or a number is malformed.
    """
    parts = path.strip('/').split('/')
    if len(parts) == 4 and parts[3] == 'weights':
        return RunCall(parts[2])
    if len(parts) != 5 or parts[3] != 'steps':
        raise errors.RouteUnknown(
            'The path names no step.', 'Use /v1/runs/RUN/steps/NUMBER.'
        )
    fields = dict(parse.parse_qsl(query))
    step = parse_count('The step', parts[4])
    version = parse_count('The version', fields.get('version', '0'))
    return RunCall(parts[2], step, version)


def parse_count(subject: str, text: str) -> int:
    """Parse a non-negative decimal integer, or raise `BadRequest`."""
    if (
        not text.isascii()
        or not text.isdigit()
        or len(text) > MAX_NUMBER_DIGIT_COUNT
    ):
        raise errors.BadRequest(f'{subject} is not a number.')
    return int(text)


def fetch_step(state: node.Node, call: RunCall, deadline: float) -> bytes:
    """Return the bytes of a step from the run's coordinator.

    A coordinator that holds its lease is preferred; one whose lease lapsed
    while it could not reach the platform is asked when no other answers.

    Raises
    ------
    NotReady
        The step was not complete before the deadline.
    """
    reason = 'no coordinator answers'
    while state.clock.monotonic() < deadline:
        for cut_off in (False, True):
            for candidate in ranked_candidates(state, call.run):
                try:
                    data = fetch_from_daemon(
                        state, candidate, call, cut_off, deadline
                    )
                    state.last_coordinator[call.run] = candidate.name
                    return data
                except errors.NotReady as exc:
                    reason = exc.message
                except errors.NotHolder:
                    continue
        state.clock.sleep(RETRY_PAUSE_S)
    message = f'Step {call.step} of {call.run} is not complete: {reason}'
    raise errors.NotReady(message, retry_after_s=1.0)


def ranked_candidates(state: node.Node, run: str) -> list[member.Member]:
    """Return the daemons to ask, the likeliest coordinator first.

    The daemon that last answered comes first, then the live ones, then those
    that are known but have no link to this one.
    """
    live = {item.name: item for item in state.directory.live_members()}
    silent = {
        item.peer.name: item.peer
        for item in state.directory.known_peers()
        if item.peer.name not in live and not state.has_ended(item.peer.owner)
    }
    key = f'run/{run}'
    order = rendezvous.rank(key, live) + rendezvous.rank(key, silent)
    last = state.last_coordinator.get(run)
    if last in order:
        order.remove(last)
        order.insert(0, last)
    candidates = live | silent
    return [candidates[name] for name in order]


def fetch_from_daemon(
    state: node.Node,
    candidate: member.Member,
    call: RunCall,
    cut_off: bool,
    deadline: float,
) -> bytes:
    """Fetch a step from one daemon.

    Raises
    ------
    NotHolder
        The daemon does not coordinate the run, or its answer broke off.
    NotReady
        The daemon coordinates the run but is still making the step.
    """
    timeout_s = max(deadline - state.clock.monotonic(), MIN_CALL_TIMEOUT_S)
    if candidate.name == state.own.name:
        return fetch_locally(state, call, cut_off, timeout_s)
    request = peer_pb2.StepRequest(
        run=call.run,
        step=call.step,
        version=call.version,
        timeout_s=timeout_s,
        cut_off=cut_off,
    )
    stub = state.peer_clients.stub(candidate.address)
    replies = stub.GetStep(request, timeout=timeout_s)
    try:
        return join_parts(replies)
    except grpc.RpcError as exc:
        message = f'{candidate.name}: {exc.code()}.'
        raise errors.NotHolder(message) from exc
    finally:
        replies.cancel()


def fetch_locally(
    state: node.Node, call: RunCall, cut_off: bool, timeout_s: float
) -> bytes:
    """Fetch a step from this daemon's own coordinator, if it has one."""
    coordinator = state.coordinators.get(call.run)
    if coordinator is None:
        raise errors.NotHolder(f'{call.run} is not coordinated here.')
    data = coordinator.hand_over(call.step, call.version, cut_off, timeout_s)
    if data is None:
        raise errors.NotReady('The step is being made.')
    return data


def join_parts(replies: Iterator[peer_pb2.StepPart]) -> bytes:
    """Join the parts of a step, or raise unless all arrive.

    Raises
    ------
    NotReady
        The coordinator reports a failure.
    NotHolder
        The daemon does not coordinate the run, or the stream broke off.
    """
    parts: list[bytes] = []
    for part in silence_limit.cancel_when_silent(replies, SILENCE_TIMEOUT_S):
        if part.state == peer_pb2.StepPart.DATA:
            parts.append(part.data)
        elif part.state == peer_pb2.StepPart.WHOLE:
            return b''.join(parts)
        elif part.state == peer_pb2.StepPart.FAILED:
            raise errors.NotReady(part.failure)
        elif part.state == peer_pb2.StepPart.NOT_HERE:
            raise errors.NotHolder(part.failure)
    raise errors.NotHolder('The stream of the step broke off.')


def publish_version(state: node.Node, run: str, body: bytes) -> bytes:
    """Store a trainer's new weight version, which never decreases.

    Raises
    ------
    BadRequest
        The body is not ``{"version": NUMBER}``.
    PlatformUnavailable
        It could not be stored. The trainer's next call for a step carries
        the version as well.
    """
    try:
        version = json.loads(body)['version']
    except (ValueError, TypeError, KeyError):
        version = None
    if type(version) is not int or version < 0:
        raise errors.BadRequest(
            'The body names no version.', 'Send {"version": NUMBER}.'
        )
    for _ in range(MAX_WRITE_ATTEMPT_COUNT):
        read = state.store.get(WEIGHTS_KIND, run)
        match read:
            case result.Success(stored):
                pass
            case _:
                raise read.failure()
        if stored is not None and stored.value['version'] >= version:
            version = stored.value['version']
            break
        expected = stored.version if stored else 0
        written = state.store.put(
            WEIGHTS_KIND, run, {'version': version}, expected
        )
        if isinstance(written, result.Success):
            break
    return json.dumps({'version': version}).encode() + b'\n'
