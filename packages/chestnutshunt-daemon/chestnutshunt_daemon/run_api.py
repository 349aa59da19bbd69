"""What trainers ask of a run."""

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
ROUND_PAUSE = 0.1
MAX_WRITE_TRIES = 5

SILENCE_LIMIT = 1.5
"""Seconds without a sign of life after which a daemon is passed over."""


@attrs.frozen
class RunCall:
    """A trainer's call.

    Attributes
    ----------
    run : str
        Training run.
    step : int or None
        Step that is asked for; ``None`` for new weights.
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


def parse_count(what: str, text: str) -> int:
    """Return a whole number that is not negative."""
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise errors.BadRequest(f'{what} is not a number.')
    return int(text)


def fetch_step(held: node.Node, call: RunCall, deadline: float) -> bytes:
    """Return the bytes of a step from the run's coordinator.

    A coordinator that holds its lease is preferred; one that is only cut off
    from the platform is asked when no other answers.

    Raises
    ------
    NotReady
        The step was not whole before the deadline.
    """
    failure = 'no coordinator answers'
    while held.clock.monotonic() < deadline:
        for cut_off in (False, True):
            for candidate in candidates(held, call.run):
                try:
                    data = ask(held, candidate, call, cut_off, deadline)
                    held.last_coordinator[call.run] = candidate.name
                    return data
                except errors.NotReady as exc:
                    failure = exc.message
                except errors.NotHolder:
                    continue
        held.clock.sleep(ROUND_PAUSE)
    message = f'Step {call.step} of {call.run} is not whole: {failure}'
    raise errors.NotReady(message, retry_after=1.0)


def candidates(held: node.Node, run: str) -> list[member.Member]:
    """Return the daemons to ask, the likeliest coordinator first.

    That is the one that answered last, then the live ones, then those that
    are listed but have no link to this one.
    """
    live = {item.name: item for item in held.directory.live()}
    unheard = {
        item.peer.name: item.peer
        for item in held.directory.known()
        if item.peer.name not in live and not held.has_ended(item.peer.owner)
    }
    key = f'run/{run}'
    order = rendezvous.rank(key, live) + rendezvous.rank(key, unheard)
    last = held.last_coordinator.get(run)
    if last in order:
        order.remove(last)
        order.insert(0, last)
    everyone = live | unheard
    return [everyone[name] for name in order]


def ask(
    held: node.Node,
    candidate: member.Member,
    call: RunCall,
    cut_off: bool,
    deadline: float,
) -> bytes:
    """Ask one daemon for a step."""
    remaining = max(deadline - held.clock.monotonic(), 0.01)
    if candidate.name == held.own.name:
        return ask_here(held, call, cut_off, remaining)
    asked = peer_pb2.StepRequest(
        run=call.run,
        step=call.step,
        version=call.version,
        timeout_s=remaining,
        cut_off=cut_off,
    )
    stub = held.peers.stub(candidate.address)
    replies = stub.GetStep(asked, timeout=remaining)
    try:
        return collect(replies)
    except grpc.RpcError as exc:
        message = f'{candidate.name}: {exc.code()}.'
        raise errors.NotHolder(message) from exc
    finally:
        replies.cancel()


def ask_here(
    held: node.Node, call: RunCall, cut_off: bool, timeout: float
) -> bytes:
    """Ask this daemon's own coordinator for a step."""
    running = held.coordinators.get(call.run)
    if running is None:
        raise errors.NotHolder(f'{call.run} is not coordinated here.')
    data = running.hand_over(call.step, call.version, cut_off, timeout)
    if data is None:
        raise errors.NotReady('The step is being made.')
    return data


def collect(replies: Iterator[peer_pb2.StepPart]) -> bytes:
    """Join the parts of a step; raises unless it is whole."""
    parts: list[bytes] = []
    for part in silence_limit.cancel_when_silent(replies, SILENCE_LIMIT):
        if part.state == peer_pb2.StepPart.DATA:
            parts.append(part.data)
        elif part.state == peer_pb2.StepPart.WHOLE:
            return b''.join(parts)
        elif part.state == peer_pb2.StepPart.FAILED:
            raise errors.NotReady(part.failure)
        elif part.state == peer_pb2.StepPart.NOT_HERE:
            raise errors.NotHolder(part.failure)
    raise errors.NotHolder('The answer broke off.')


def publish_version(held: node.Node, run: str, body: bytes) -> bytes:
    """Record a trainer's new weight version, which never goes back.

    Raises
    ------
    BadRequest
        The body is not ``{"version": NUMBER}``.
    PlatformUnavailable
        It could not be recorded; the next step's call tells it as well.
    """
    try:
        version = json.loads(body)['version']
    except (ValueError, TypeError, KeyError):
        version = None
    if type(version) is not int or version < 0:
        raise errors.BadRequest(
            'The body names no version.', 'Send {"version": NUMBER}.'
        )
    for _ in range(MAX_WRITE_TRIES):
        found = held.store.get(WEIGHTS_KIND, run)
        match found:
            case result.Success(current):
                pass
            case _:
                raise found.failure()
        if current is not None and current.value['version'] >= version:
            version = current.value['version']
            break
        expected = current.version if current else 0
        written = held.store.put(
            WEIGHTS_KIND, run, {'version': version}, expected
        )
        if isinstance(written, result.Success):
            break
    return json.dumps({'version': version}).encode() + b'\n'
