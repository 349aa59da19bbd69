import random

import pytest

from chestnutshunt.deployment import destination
from chestnutshunt.deployment import route
from chestnutshunt.deployment import route_kind
from chestnutshunt import errors
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import stream_forwarder
from chestnutshunt_daemon.targets import target_request
from tests import fake_target
from tests import fleet_parts


def make_route(resumable):
    return route.Route(
        'r',
        'h',
        '/p/',
        route_kind.RouteKind.STREAM,
        timeout_s=5.0,
        attempts=3,
        resumable=resumable,
        destinations=(destination.Destination('s'),),
    )


def stream(resumable, *targets):
    state = fleet_parts.make_state()
    fleet_parts.register(state, *(x.replica() for x in targets))
    made = stream_forwarder.StreamForwarder(
        state, fleet_parts.make_exchanger(state), random.Random(1)
    )
    request = target_request.TargetRequest(
        'q1', 'POST', '/p/', 'h', (), b'', 'w', state.clock.monotonic() + 5
    )
    return made.open(
        request,
        make_route(resumable),
        cancel_token.CancelToken(),
        lambda: True,
    )


def text(*numbers):
    return ''.join(f'id: {n}\ndata: d{n}\n\n' for n in numbers).encode()


def test_passes_events_on(target):
    one = target('t1', fake_target.events(1, 2, 3))
    found = stream(False, one)
    assert found.head.signature == 'sig'
    assert b''.join(found.chunks) == text(1, 2, 3)


def test_a_resumable_stream_goes_on_at_another_target(target):
    cut = fake_target.events(1, 2, complete=False)
    rest = fake_target.events(3, 4)
    held = [target(f't{n}', cut, rest) for n in range(2)]
    for item in held:
        item.script = [self_or_rest(cut, rest)]
    found = stream(True, *held)
    assert b''.join(found.chunks) == text(1, 2, 3, 4)
    heads = [fields for item in held for _, fields in item.heads]
    resumed = [x for x in heads if 'last-event-id' in x]
    assert [x['last-event-id'] for x in resumed] == ['2']


def self_or_rest(cut, rest):
    def step(connection, fields):
        (rest if 'last-event-id' in fields else cut)(connection, fields)

    return step


def test_another_stream_breaks_off_without_its_end(target):
    held = [
        target(f't{n}', fake_target.events(1, 2, complete=False))
        for n in range(2)
    ]
    found = stream(False, *held)
    received = []
    with pytest.raises(errors.TargetFailed):
        received.extend(found.chunks)
    assert sum(len(item.heads) for item in held) == 1


def test_a_busy_target_is_left_before_the_first_event(target):
    one = target('t1', fake_target.refuse)
    two = target('t2', fake_target.events(1))
    for _ in range(3):
        assert b''.join(stream(False, one, two).chunks) == text(1)


def test_a_stream_that_begins_ends_a_series_of_failures(target):
    """Without it, rare failures added up until a target was left alone."""
    one = target('t1', fake_target.events(1))
    state = fleet_parts.make_state()
    fleet_parts.register(state, one.replica())
    made = stream_forwarder.StreamForwarder(
        state, fleet_parts.make_exchanger(state), random.Random(1)
    )
    guard = state.replicas.state(one.replica()).breaker
    guard.failed()
    guard.failed()
    request = target_request.TargetRequest(
        'q1', 'POST', '/p/', 'h', (), b'', 'w', state.clock.monotonic() + 5
    )
    found = made.open(
        request, make_route(False), cancel_token.CancelToken(), lambda: True
    )
    assert b''.join(found.chunks) == text(1)
    guard.failed()
    assert guard.allows()


def test_not_run_is_said_when_all_are_busy(target):
    one = target('t1', fake_target.refuse)
    with pytest.raises(errors.NoTarget):
        stream(False, one)


def test_an_unsigned_stream_is_not_passed_on(target):
    one = target('t1', fake_target.respond(200, b'', signature=''))
    two = target('t2', fake_target.events(1))
    for _ in range(3):
        assert b''.join(stream(True, one, two).chunks) == text(1)
