"""Targets in trouble whose chunks are malformed behind a valid head.

The size of a chunk is the length of a part of the body: what holds for the
lengths of heads holds for it as well.
"""

import contextlib

import pytest

from chestnutshunt import errors
from chestnutshunt_daemon import target_error
from tests import fake_target
from tests.jobs import test_job_runner
from tests import response_heads
from tests.targets import test_cut_off_answers
from tests.targets import test_forwarder
from tests.targets import test_malformed_heads
from tests.targets import test_stream_forwarder
from tests import test_target_call

EVENT = b'id: 3\ndata: d3\n\n'
REST = response_heads.chunked(b'id: 4\ndata: d4\n\n')
SIZES = (
    *(b'-1', b'-10', b'+10', b'0x10', b'1_0', b'', b' ', b'g', b'10 10'),
    *(b'10,', b'"10"', b'\xb2', b'10\x00', b'0', b'00', b'5', b'f', b'11'),
    *(b'10\x0b', b'f' * 30, b'10;a\x00', b'\n10', b'x10'),
)
BODIES = {
    f'size {size!r}': size + b'\r\n' + EVENT + b'\r\n' + REST for size in SIZES
} | {
    'no end': b'10\r\n' + EVENT + REST,
    'another end': b'10\r\n' + EVENT + b'\n\n' + REST,
    'trailer': b'10\r\n' + EVENT + b'\r\n0\r\nno field\r\n\r\n',
    'trailer name': b'10\r\n' + EVENT + b'\r\n0\r\nX Name: 1\r\n\r\n',
    'folded trailer': b'10\r\n' + EVENT + b'\r\n0\r\n 1\r\n\r\n',
}
HEAD = response_heads.ending('Transfer-Encoding: chunked')


def step_for(name):
    return response_heads.respond(HEAD, b'', BODIES[name])


def test_no_request_is_answered(target):
    wrong = {}
    for name in BODIES:
        harness = test_forwarder.Harness(target('t1', step_for(name)))
        with contextlib.suppress(errors.TargetFailed):
            response = harness.send(test_forwarder.make_route(attempts=1))
            wrong[name] = response.body
        if harness.state.quarantine.snapshot():
            wrong[name] = 'crashed'
    assert not wrong


@pytest.mark.parametrize('resumable', [False, True])
def test_no_stream_is_completed(target, resumable):
    wrong = {}
    for name in BODIES:
        received = []
        with contextlib.suppress(errors.TargetFailed):
            response = test_stream_forwarder.open_stream(
                resumable, target('t1', step_for(name))
            )
            received.extend(response.chunks)
            wrong[name] = received
    assert not wrong


def test_items_go_on_behind_their_last_event():
    wrong = {}
    with contextlib.ExitStack() as stack:
        harness = test_job_runner.Harness(stack)
        for number, name in enumerate(BODIES):
            harness.targets.clear()
            harness.add(
                f't{number}',
                fake_target.events(1, 2, complete=False, version=5),
                step_for(name),
                test_cut_off_answers.rest_after,
            )
            job = test_job_runner.make_job(f'j{number}', prefix=f'i{number}-')
            (listed,) = harness.results(job)
            if listed.text != 'd1\nd2\nd3\nd4':
                wrong[name] = listed.text
    assert not wrong


def test_no_response_of_chestnutshuntd_is_complete():
    wrong = {}
    for name in BODIES:
        with test_target_call.open_response(step_for(name)) as response:
            with contextlib.suppress(target_error.TargetError):
                wrong[name] = b''.join(response.body())
    assert not wrong


def test_unusual_but_valid_chunks_are_read(target):
    body = (
        b'10 \r\n' + EVENT + b'\r\n0008;a=b;c="d"\r\nid: 4\nda\r\n'
        b'8\t;x\r\nta: d4\n\n\r\n000\r\nX-Sum: \xe4\r\nX-Empty:\r\n\r\n'
    )
    step = response_heads.respond(HEAD, b'', body, close=False)
    harness = test_forwarder.Harness(target('t1', step))
    response = harness.send(test_forwarder.make_route(attempts=1))
    assert response.body == test_malformed_heads.BODY
    assert harness.forwarder.exchanger.pool.has_idle(
        next(iter(harness.state.replicas.replicas.values())).address
    )
