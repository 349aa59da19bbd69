"""Requests that come in any pieces, late, or beyond their bounds."""

import socket

import pytest

from chestnutshunt import system_clock
from chestnutshunt_daemon.callers import caller_response
from chestnutshunt_daemon.callers import caller_server
from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_standins import cluster

TIMEOUT_S = 20.0
MAX_HEAD_BYTES = 2000
MAX_BODY_BYTES = 1000
HEAD = b'POST /%d HTTP/1.1\r\nHost: h\r\n'


@pytest.fixture
def served():
    requests = []

    def handle(request):
        requests.append((request.target, request.body))
        return caller_response.CallerResponse(200, [], request.target.encode())

    address = cluster.free_address()
    budget = client_budget.ClientBudget(10_000_000)
    with caller_server.caller_server(
        address, handle, 2, system_clock.SystemClock(), budget
    ) as server:
        server.apply_limits(30.0, 0.1, MAX_HEAD_BYTES, MAX_BODY_BYTES)
        yield address, requests, server


def connect(address):
    host, _, port = address.rpartition(':')
    return socket.create_connection((host, int(port)), TIMEOUT_S)


def receive(connection):
    """Return all that comes until the server closes."""
    received = b''
    while part := connection.recv(65536):
        received += part
    return received


def post(number, body, extra=b''):
    head = HEAD % number + extra
    return head + b'Content-Length: %d\r\n\r\n' % len(body) + body


CLOSE = b'Connection: close\r\n'


def test_a_request_that_comes_byte_by_byte_is_served(served):
    address, requests, _ = served
    with connect(address) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in post(1, b'0123456789', CLOSE):
            connection.sendall(bytes([byte]))
        assert receive(connection).startswith(b'HTTP/1.1 200')
    assert requests == [('/1', b'0123456789')]


def test_requests_sent_ahead_are_served_in_order(served):
    address, requests, _ = served
    with connect(address) as connection:
        parts = [post(number, b'x' * number) for number in range(1, 6)]
        connection.sendall(b''.join(parts) + post(6, b'', CLOSE))
        received = receive(connection)
    assert received.count(b'HTTP/1.1 200') == 6
    assert [target for target, _ in requests] == [
        f'/{number}' for number in range(1, 7)
    ]


def test_a_late_head_is_refused_as_not_run(served):
    address, requests, _ = served
    with connect(address) as connection:
        connection.sendall(HEAD % 1)
        assert receive(connection).startswith(b'HTTP/1.1 408')
    assert not requests


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (HEAD % 1 + b'X-Fill: ' + b'x' * MAX_HEAD_BYTES, 413),
        (b'GET /' + b'x' * MAX_HEAD_BYTES, 414),
        (b'GET / HTTP/1.1\nHost: h\n\n', 400),
        (post(1, b'x' * (MAX_BODY_BYTES + 1)), 413),
        (
            HEAD % 1
            + b'Transfer-Encoding: chunked\r\n\r\n'
            + b'%x\r\n' % (MAX_BODY_BYTES + 1),
            413,
        ),
        (
            HEAD % 1
            + b'Transfer-Encoding: chunked\r\n\r\n0\r\n'
            + b'X-T: 1\r\n' * (MAX_HEAD_BYTES // 8 + 1),
            431,
        ),
    ],
)
def test_what_exceeds_its_bound_is_refused(served, data, status):
    address, requests, _ = served
    with connect(address) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        assert receive(connection).startswith(b'HTTP/1.1 %d' % status)
    assert not requests


def test_a_closed_connection_holds_nothing(served):
    address, _, server = served
    for data in (b'', HEAD % 1, post(1, b'0123456789')[:-1]):
        with connect(address) as connection:
            connection.sendall(data)
    cluster.wait_until(
        lambda: not server.budget.holdings, 'all connections are closed'
    )
    assert server.budget.used_bytes == 0
