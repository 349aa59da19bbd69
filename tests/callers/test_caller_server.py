"""Requests whose callers leave while they send."""

import socket
import threading

import pytest

from chestnutshunt import system_clock
from chestnutshunt_daemon.callers import caller_response
from chestnutshunt_daemon.callers import caller_server
from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_standins import cluster

TIMEOUT_S = 20.0


@pytest.fixture
def served():
    bodies = []

    def handle(request):
        bodies.append(request.body)
        return caller_response.CallerResponse(200, [], b'done')

    address = cluster.free_address()
    with caller_server.caller_server(
        address, handle, 2, system_clock.SystemClock()
    ):
        yield address, bodies


def send(address, data):
    """Send bytes, leave, and return what came back."""
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        received = b''
        while part := connection.recv(65536):
            received += part
    return received


HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\n'
BODIES = {
    'with a length': HEAD + b'Content-Length: 10\r\n\r\n0123456789',
    'in chunks': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b'5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n',
}


# Guards against UNASKED: a part of a body was run as a whole one.
@pytest.mark.parametrize('kind', BODIES)
def test_body_that_its_caller_leaves_unfinished_is_not_handled(served, kind):
    address, bodies = served
    whole = BODIES[kind]
    for size in range(len(HEAD), len(whole)):
        assert not send(address, whole[:size]).startswith(b'HTTP/1.1 200')
    assert not bodies
    assert send(address, whole).startswith(b'HTTP/1.1 200')
    assert bodies == [b'0123456789']


def body_head(length):
    return HEAD + b'Content-Length: %d\r\n\r\n' % length


def chunked(data, size=50_000):
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    framed = b''.join(b'%x\r\n%s\r\n' % (len(x), x) for x in parts)
    return HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + framed + b'0\r\n\r\n'


@pytest.fixture
def small():
    bodies = []
    entered = threading.Semaphore(0)
    release = threading.Event()

    def handle(request):
        bodies.append(len(request.body))
        entered.release()
        release.wait(TIMEOUT_S)
        return caller_response.CallerResponse(200, [], b'done')

    address = cluster.free_address()
    with caller_server.caller_server(
        address,
        handle,
        4,
        system_clock.SystemClock(),
        client_budget.ClientBudget(
            250_000
            + client_budget.CONNECTION_BYTES
            + client_budget.THREAD_BYTES
        ),
    ) as server:
        yield address, bodies, entered, release, server
        release.set()


def wait_until_given_back(server):
    """Wait until the connections that were closed hold nothing."""
    cluster.wait_until(
        lambda: not server.budget.holdings, 'all connections are closed'
    )
    assert server.budget.used_bytes == 0


# Guards against LOST and Fault: bodies within the operator's limit took a
# daemon over its memory, with the requests of all its callers.
@pytest.mark.parametrize('framed', ['length', 'chunks'])
@pytest.mark.parametrize(
    ('size', 'status'), [(60_000, 200), (240_000, 200), (260_000, 503)]
)
def test_a_body_beyond_the_memory_is_refused(small, framed, size, status):
    address, bodies, _, release, server = small
    release.set()
    data = b'x' * size
    whole = body_head(size) + data if framed == 'length' else chunked(data)
    received = send(address, whole)
    assert received.startswith(b'HTTP/1.1 %d' % status)
    assert bodies == ([size] if status == 200 else [])
    if status == 503:
        assert b'Retry-After' in received
        assert b'"out_of_memory"' in received
    wait_until_given_back(server)


def test_bodies_in_process_count_together(small):
    address, bodies, entered, release, server = small
    whole = body_head(150_000) + b'x' * 150_000
    thread = threading.Thread(target=send, args=(address, whole))
    thread.start()
    assert entered.acquire(timeout=TIMEOUT_S)
    assert send(address, whole).startswith(b'HTTP/1.1 503')
    release.set()
    thread.join()
    assert send(address, whole).startswith(b'HTTP/1.1 200')
    assert bodies == [150_000, 150_000]
    wait_until_given_back(server)


# Callers got a 500 in place of a response that had been run: the status was
# valid, but none that the standard library knows.
@pytest.mark.parametrize('status', [200, 299, 420, 499, 520, 599])
def test_any_valid_response_is_written(status):
    value = ''.join(map(chr, range(0x80, 0x100)))

    def handle(request):
        headers = [("!#$%&'*+-.^_`|~", value), ('X-Empty', '')]
        return caller_response.CallerResponse(status, headers, b'done')

    address = cluster.free_address()
    clock = system_clock.SystemClock()
    with caller_server.caller_server(address, handle, 2, clock):
        received = send(address, HEAD + b'\r\n')
    head, _, body = received.partition(b'\r\n\r\n')
    lines = head.split(b'\r\n')
    assert lines[0].startswith(b'HTTP/1.1 %d ' % status)
    assert b"!#$%&'*+-.^_`|~: " + value.encode('latin-1') in lines
    assert b'X-Empty: ' in lines
    assert body == b'done'
