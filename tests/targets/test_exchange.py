"""Single requests to targets."""

import contextlib
import socket
import threading
import time

import attrs
import pytest

from chestnutshunt.attempts import progress
from chestnutshunt.replicas import replica
from chestnutshunt_daemon import target_error
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import target_request
from tests import fake_target
from tests import fleet_parts


class Withdrawal(cancel_token.CancelToken):
    """Calls back once a connection for the request is open."""

    def __init__(self, callback):
        super().__init__()
        self.callback = callback

    def register(self, connection):
        super().register(connection)
        self.callback()


class SlowTarget:
    """A target that takes a body a little at a time."""

    def __init__(self, length, part_bytes, pause_s):
        self.length = length
        self.part_bytes = part_bytes
        self.pause_s = pause_s
        self.received = bytearray()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen()
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        connection, _ = self.listener.accept()
        with connection, contextlib.suppress(OSError):
            while b'\r\n\r\n' not in self.received:
                self.received += connection.recv(self.part_bytes)
            head, _, body = bytes(self.received).partition(b'\r\n\r\n')
            self.received = bytearray(body)
            while len(self.received) < self.length:
                data = connection.recv(self.part_bytes)
                if not data:
                    return
                self.received += data
                time.sleep(self.pause_s)
            fake_target.respond()(connection, {'x-request-id': 'q1'})
            connection.recv(1)


def leave(state, target):
    fleet_parts.register(state, attrs.evolve(target, leaving=True))


def go(state, target):
    fleet_parts.register(state)


def restart(state, target):
    fleet_parts.register(state, attrs.evolve(target, started_ms=2))


def say_so(state, target):
    state.replicas.leaving_targets.add(target, 'q0')


# Guards against DRAIN: a target was not looked at again between its choice
# and the sending of the request.
@pytest.mark.parametrize('change', [leave, go, restart, say_so])
def test_no_request_is_sent_to_a_target_that_has_left(target, change):
    fake = target('t1', fake_target.respond())
    chosen = fake.replica(started_ms=1)
    state = fleet_parts.make_state()
    fleet_parts.register(state, chosen)
    request = target_request.TargetRequest(
        id='q1',
        method='POST',
        path='/p/',
        host='h',
        headers=(),
        body=b'',
        workspace='w',
        deadline=state.clock.monotonic() + 5,
    )
    token = Withdrawal(lambda: change(state, chosen))
    with pytest.raises(target_error.TargetError) as caught:
        fleet_parts.make_exchanger(state).begin(chosen, request, True, token)
    assert caught.value.attempt_progress is progress.Progress.NOT_SENT
    assert caught.value.withheld
    assert not fake.heads


# A body as large as the operator allows was given up after 1 s in all.
def test_a_long_body_is_sent_as_fast_as_its_target_takes_it():
    body = bytes(12_000_000)
    slow = SlowTarget(len(body), 65_536, 0.02)
    chosen = replica.Replica('t1', 's', slow.address, 'a', 4)
    state = fleet_parts.make_state()
    fleet_parts.register(state, chosen)
    request = target_request.TargetRequest(
        id='q1',
        method='POST',
        path='/p/',
        host='h',
        headers=(),
        body=body,
        workspace='w',
        deadline=state.clock.monotonic() + 60,
    )
    token = cancel_token.CancelToken()
    exchanger = fleet_parts.make_exchanger(state)
    with exchanger.exchange(chosen, request, 20.0, False, token) as response:
        assert response.body() == b'fine'
    assert slow.received == body
