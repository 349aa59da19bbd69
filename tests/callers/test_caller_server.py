"""Requests whose callers leave while they send."""

import socket

import pytest

from chestnutshunt import system_clock
from chestnutshunt_daemon.callers import caller_response
from chestnutshunt_daemon.callers import caller_server
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
