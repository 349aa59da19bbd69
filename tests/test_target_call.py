"""Responses of targets to requests of `chestnutshuntd`."""

import contextlib
import itertools
import json

import pytest
import urllib3

from chestnutshunt.attempts import attempt
from chestnutshunt.config import service_settings
from chestnutshunt import errors
from chestnutshunt.routing import target as routing_target
from chestnutshunt import system_clock
from chestnutshunt_daemon import bounded_connection
from chestnutshunt_daemon import caller_request
from chestnutshunt_daemon import connection_pool
from chestnutshunt_daemon import engine_execution
from chestnutshunt_daemon import target_call
from chestnutshunt_daemon import target_error
from tests import daemon_parts
from tests import fake_target
from tests import response_heads
from tests.targets import test_endless_answers


def make_request(clock, body=b''):
    return caller_request.CallerRequest(
        id='q1',
        service='s',
        settings=service_settings.ServiceSettings(progress_timeout_s=0.5),
        method='POST',
        path='/p/',
        headers={'X-Request-Id': 'q1'},
        body=body,
        deadline=clock.monotonic() + 5,
    )


@contextlib.contextmanager
def open_response(step):
    clock = system_clock.SystemClock()
    pool = connection_pool.ConnectionPool(clock)
    fake = fake_target.FakeTarget('t1', step)
    chosen = routing_target.Target('t1', 's', fake.address, 'near')
    own_attempt = attempt.Attempt('', 'n')
    request = make_request(clock)
    with contextlib.closing(fake), contextlib.closing(pool):
        with target_call.open_response(
            pool, clock, chosen, request, own_attempt, b'', False
        ) as response:
            yield response


@pytest.mark.parametrize(
    'kind',
    [
        'interim answers',
        'header lines',
        'one header line',
        'no protocol',
        'slow header lines',
        'slow interim answers',
    ],
)
def test_a_head_without_end_fails(kind):
    step = test_endless_answers.flood(*test_endless_answers.FLOODS[kind])
    with pytest.raises(target_error.TargetError):
        with open_response(step):
            pass


@pytest.mark.parametrize('kind', test_endless_answers.TRAILERS)
def test_a_trailer_without_end_fails(kind):
    step = test_endless_answers.flood(*test_endless_answers.TRAILERS[kind])
    with open_response(step) as response:
        with pytest.raises(target_error.TargetError):
            list(response.body())
        assert not response.complete


@pytest.mark.parametrize('kind', ['a body without length', 'chunks'])
def test_a_body_without_end_fails(monkeypatch, kind):
    monkeypatch.setattr(target_call, 'MAX_BODY_BYTES', 8_000_000)
    step = test_endless_answers.flood(*test_endless_answers.FLOODS[kind])
    with open_response(step) as response:
        with pytest.raises(target_error.TargetError):
            for _ in response.body():
                pass


# Guards against MIXED: the cut-off size of a chunk looks like the last one.
@pytest.mark.parametrize('size', range(-5, 0))
def test_a_body_cut_off_in_its_last_chunk_is_incomplete(size):
    step = fake_target.cut_off(fake_target.events(1), size)
    with open_response(step) as response:
        with pytest.raises(target_error.TargetError):
            list(response.body())


def test_a_cut_off_head_is_no_response():
    whole = fake_target.respond()
    length = fake_target.sent_bytes(whole, 'q1')
    for size in range(1, length - len(b'fine')):
        with pytest.raises(target_error.TargetError):
            with open_response(fake_target.cut_off(whole, size)):
                pass


# Guards against MIXED: the same as on the platform's way.
def test_a_malformed_head_is_no_response():
    wrong = {}
    bodies = itertools.cycle([b'whole', b'wh', b'whole and more'])
    for name, lines in response_heads.MALFORMED.items():
        step = response_heads.respond(lines, b'whole', next(bodies))
        try:
            with open_response(step) as response:
                wrong[name] = b''.join(response.body())
        except target_error.TargetError as exc:
            if exc.crashed or exc.stale:
                wrong[name] = exc
    assert not wrong


@pytest.mark.parametrize(
    'name', [*response_heads.VALID, *response_heads.VALID_LENGTHS]
)
def test_an_unusual_but_valid_head_is_a_response(name):
    heads = response_heads.VALID | response_heads.VALID_LENGTHS
    step = response_heads.respond(heads[name], b'whole', close=False)
    with open_response(step) as response:
        assert response.head.status == 200
        assert b''.join(response.body()) == b'whole'
        assert response.complete


def make_execution(body):
    state = daemon_parts.make_node()
    request = make_request(state.clock, body)
    return engine_execution.EngineExecution(
        state, request, None, attempt.Attempt('', 'n')
    )


def test_an_engine_sends_no_more_tokens_than_asked_for():
    body = json.dumps({'prompt': 'x', 'max_tokens': 3}).encode()
    own_execution = make_execution(body)
    with open_response(fake_target.respond()) as response:
        for _ in range(3):
            own_execution.read_line(response, {'token': 't'})
        with pytest.raises(errors.TargetFailed, match='more than 3 tokens'):
            own_execution.read_line(response, {'token': 't'})


# Guards against DENIED: a full target resets connections as soon as they are
# open, and counted as gone.
@pytest.mark.parametrize(
    ('cause', 'unreachable'),
    [
        (ConnectionRefusedError(), True),
        (TimeoutError(), True),
        (OSError('no route'), True),
        (ConnectionResetError(), False),
    ],
)
def test_a_target_that_resets_new_connections_is_there(
    monkeypatch, cause, unreachable
):
    def fail(connection):
        raise urllib3.exceptions.NewConnectionError(connection, '') from cause

    monkeypatch.setattr(bounded_connection.BoundedConnection, 'connect', fail)
    with pytest.raises(target_error.TargetError) as caught:
        target_call.connect('t1', '127.0.0.1:1', 0.1)
    assert caught.value.unreachable is unreachable
