"""Targets that close the connection within a response.

A response must be whole: its head, its body and the end of that. Callers have
received successes with a part of the signature and no body.
"""

import contextlib

import pytest

from chestnutshunt import errors
from tests import fake_target
from tests.jobs import test_job_runner
from tests.targets import test_forwarder
from tests.targets import test_stream_forwarder


def framed_last(*numbers):
    """Return a step that streams events; its head names the framing last."""

    def step(connection, fields):
        head = (
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            f'X-Request-Id: {fields["x-request-id"]}\r\n'
            'X-Weight-Versions: 5\r\nX-Server-Stamp: 3e1b.07.5a2.600\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        connection.sendall(head.encode())
        for number in numbers:
            data = f'id: {number}\ndata: d{number}\n\n'.encode()
            connection.sendall(b'%x\r\n%s\r\n' % (len(data), data))
        connection.sendall(b'0\r\n\r\n')

    return step


REST = framed_last(3, 4)


def chunked(*chunks):
    """Return a step that sends a body in chunks with padded sizes."""

    def step(connection, fields):
        head = (
            'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
            f'X-Request-Id: {fields["x-request-id"]}\r\n'
            'X-Server-Stamp: 3e1b.07.5a2.600\r\n\r\n'
        )
        body = b''.join(b'%04x\r\n%s\r\n' % (len(x), x) for x in chunks)
        connection.sendall(head.encode() + body + b'0\r\n\r\n')

    return step


def unsized(connection, fields):
    """Send a response that ends with its connection; only the head."""
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'X-Request-Id: {fields["x-request-id"]}\r\n'
        'X-Server-Stamp: 3e1b.07.5a2.600\r\n\r\n'
    )
    connection.sendall(head.encode())


ANSWERS = {
    'with a length': fake_target.respond(200, b'whole', '3e1b.07.5a2.600'),
    'in chunks': chunked(b'whole', b'body'),
    'without a length': unsized,
}


# Guards against MIXED: heads that were cut off counted as whole ones.
@pytest.mark.parametrize('kind', ANSWERS)
def test_no_part_of_a_response_is_a_success(target, kind):
    answer = ANSWERS[kind]
    for size in range(fake_target.sent_bytes(answer, 'q1')):
        bad = target('t1', fake_target.cut_off(answer, size))
        harness = test_forwarder.Harness(bad)
        with pytest.raises(errors.TargetFailed):
            response = harness.send(test_forwarder.make_route(attempts=1))
            pytest.fail(f'{size} bytes: {response}')


# Guards against MIXED: a text ended where its second target had cut the head.
def test_no_part_of_a_head_completes_a_text():
    count = fake_target.sent_bytes(REST, 'i0')
    with contextlib.ExitStack() as stack:
        harness = test_job_runner.Harness(stack)
        cuts = range(1, count, 4)
        for number, size in enumerate(cuts):
            harness.targets.clear()
            harness.add(
                f't{number}',
                fake_target.events(1, 2, complete=False, version=5),
                fake_target.cut_off(REST, size),
                rest_after,
            )
            job = test_job_runner.make_job(f'j{number}', prefix=f'i{number}-')
            (listed,) = harness.results(job)
            assert listed.text == 'd1\nd2\nd3\nd4', size


def rest_after(connection, fields):
    """Send the events after the last one that is known, of four."""
    first = int(fields.get('last-event-id', 0)) + 1
    framed_last(*range(first, 5))(connection, fields)


# Guards against ORDER: the same for the streams of callers.
def test_no_part_of_a_head_ends_a_stream(target):
    count = fake_target.sent_bytes(REST, 'q1')
    for size in range(1, count, 4):
        step = test_stream_forwarder.first_or_rest(
            fake_target.events(1, 2, complete=False),
            fake_target.cut_off(REST, size),
        )
        targets = [target(f't{size}-{n}', step) for n in range(2)]
        response = test_stream_forwarder.open_stream(True, *targets)
        with pytest.raises(errors.TargetFailed):
            received = list(response.chunks)
            pytest.fail(f'{size} bytes: {received}')


# Guards against MIXED: the first response to a caller's stream is cut off.
def test_no_part_of_a_first_head_begins_a_stream(target):
    step = framed_last()
    for size in range(1, fake_target.sent_bytes(step, 'q1'), 4):
        cut = target(f't{size}', fake_target.cut_off(step, size))
        with pytest.raises(errors.TargetFailed):
            response = test_stream_forwarder.open_stream(False, cut)
            received = list(response.chunks)
            pytest.fail(f'{size} bytes: {response.head} {received}')
