"""Bodies of requests, read from connections that send them in any pieces."""

import random
import socket

import pytest

from chestnutshunt import errors
from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_daemon.clients import client_reader
from chestnutshunt_daemon.clients import client_socket
from chestnutshunt_daemon.clients import request_body
from chestnutshunt_daemon.clients import worker_pool

MAX_BYTES = 1000
MAX_TRAILER_BYTES = 200
SEED = 38


@pytest.fixture
def connection():
    budget = client_budget.ClientBudget(10_000_000)
    ours, theirs = socket.socketpair()
    with ours, theirs:
        pool = worker_pool.WorkerPool(None, 1, budget)
        holder = budget.open(ours.close)
        client = client_socket.ClientSocket(ours, holder, budget, pool, 5.0)
        yield client_reader.ClientReader(client), theirs


def chunked(connection, data):
    reader, theirs = connection
    theirs.sendall(data)
    theirs.shutdown(socket.SHUT_WR)
    return request_body.ChunkedBody(
        reader, lambda size: None, MAX_BYTES, MAX_TRAILER_BYTES
    )


def framed(parts, trailer=b''):
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(x), x) for x in parts)
    return chunks + b'0\r\n' + trailer + b'\r\n'


@pytest.mark.parametrize('seed', range(SEED, SEED + 10))
def test_a_body_in_chunks_is_read_whole(connection, seed):
    rng = random.Random(seed)
    parts = [rng.randbytes(rng.randint(1, 90)) for _ in range(10)]
    body = chunked(connection, framed(parts, b'X-T: 1\r\n') + b'next')
    assert body.read() == b''.join(parts)
    assert body.is_complete
    assert connection[0].read(10) == b'next'


@pytest.mark.parametrize(
    'data',
    [
        b'5\r\n01234\r\n0\r\n',
        b'5\r\n01234\r\n0',
        b'5\r\n0123',
        b'5\r\n01234xx0\r\n\r\n',
        b'+5\r\n01234\r\n0\r\n\r\n',
        b'0x5\r\n01234\r\n0\r\n\r\n',
        b'-5\r\n01234\r\n0\r\n\r\n',
        b'5_0\r\n01234\r\n0\r\n\r\n',
        b'\r\n01234\r\n0\r\n\r\n',
        b'5;' + b'x' * request_body.MAX_SIZE_LINE_BYTES,
        b'5\n01234\r\n0\r\n\r\n',
        b'5\r\n01234\r\n0\r\nX-T: 1\n\r\n',
    ],
)
def test_a_malformed_or_cut_off_body_is_an_error(connection, data):
    with pytest.raises(ValueError):
        chunked(connection, data).read()


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'%x\r\n' % (MAX_BYTES + 1), 413),
        (framed([b'x' * 600, b'x' * 600]), 413),
        (framed([b'x'], b'X-T: 1\r\n' * 40), 431),
        (b'0\r\nX-T: ' + b'x' * 100_000, 431),
    ],
)
def test_a_body_beyond_its_bounds_is_refused(connection, data, status):
    with pytest.raises(errors.BadRequest) as raised:
        chunked(connection, data).read()
    assert raised.value.status == status


def test_a_body_of_the_largest_size_is_read(connection):
    parts = [b'x' * 100] * (MAX_BYTES // 100)
    assert len(chunked(connection, framed(parts)).read()) == MAX_BYTES


def test_memory_is_held_before_a_body_with_a_length_comes(connection):
    reader, theirs = connection
    held = []
    body = request_body.LengthBody(reader, held.append, 10)
    theirs.sendall(b'0123456789rest')
    assert (body.read(), held) == (b'0123456789', [10])
    assert body.read() == b''


def test_a_body_with_a_length_that_ends_early_is_an_error(connection):
    reader, theirs = connection
    body = request_body.LengthBody(reader, lambda size: None, 10)
    theirs.sendall(b'012')
    theirs.shutdown(socket.SHUT_WR)
    with pytest.raises(ValueError):
        body.read()
