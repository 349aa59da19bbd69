"""Single requests to targets."""

import attrs
import pytest

from chestnutshunt.attempts import progress
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
