"""Forwarding of streams from targets that fail or are busy."""

import random
import threading

import pytest

from chestnutshunt.deployment import destination
from chestnutshunt.deployment import route
from chestnutshunt.deployment import route_kind
from chestnutshunt import errors
from chestnutshunt import manual_clock
from chestnutshunt.streams import stream_origin
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import stream_forwarder
from chestnutshunt_daemon.targets import stream_position
from chestnutshunt_daemon.targets import target_request
from tests import fake_target
from tests import fleet_parts
from tests.targets import test_endless_answers
from tests.targets import test_forwarder

NEW = stream_position.StreamPosition()
TAKEN_UP = stream_position.StreamPosition('q0', 3)


def make_route(resumable, attempts=3):
    return route.Route(
        'r',
        'h',
        '/p/',
        route_kind.RouteKind.STREAM,
        timeout_s=5.0,
        max_attempts=attempts,
        resumable=resumable,
        destinations=(destination.Destination('s'),),
    )


def open_stream(resumable, *targets, software=()):
    state = fleet_parts.make_state()
    versions = software or [''] * len(targets)
    fleet_parts.register(
        state,
        *(
            fake.replica(software=version)
            for fake, version in zip(targets, versions, strict=True)
        ),
    )
    return open_at(make_forwarder(state), resumable)


def make_forwarder(state, exchanger=None):
    return stream_forwarder.StreamForwarder(
        state,
        exchanger or fleet_parts.make_exchanger(state),
        random.Random(1),
    )


def open_at(forwarder, resumable, attempts=3, position=NEW):
    deadline = forwarder.state.clock.monotonic() + 5
    request = target_request.TargetRequest(
        'q1', 'POST', '/p/', 'h', (), b'', 'w', deadline, position
    )
    return forwarder.open(
        request,
        make_route(resumable, attempts),
        cancel_token.CancelToken(),
        lambda: True,
    )


def encoded_events(*numbers):
    return ''.join(f'id: {n}\ndata: d{n}\n\n' for n in numbers).encode()


def test_forwards_events(target):
    first = target('t1', fake_target.events(1, 2, 3))
    response = open_stream(False, first)
    assert response.head.signature == 'sig'
    assert b''.join(response.chunks) == encoded_events(1, 2, 3)


def test_resumable_stream_goes_on_at_another_target(target):
    first_part = fake_target.events(1, 2, complete=False)
    rest = fake_target.events(3, 4)
    targets = [target(f't{n}', first_part, rest) for n in range(2)]
    for fake in targets:
        fake.script = [first_or_rest(first_part, rest)]
    response = open_stream(True, *targets)
    assert b''.join(response.chunks) == encoded_events(1, 2, 3, 4)
    heads = [fields for fake in targets for _, fields in fake.heads]
    resumed = [x for x in heads if 'last-event-id' in x]
    assert [x['last-event-id'] for x in resumed] == ['2']


# Guards against ORDER: one response held events of targets with two software
# versions.
def test_stream_goes_on_only_at_the_software_that_began_it(target):
    targets = [
        target(
            f't{n}',
            first_or_rest(
                fake_target.events(1, 2, complete=False, label=label),
                fake_target.events(3, 4, label=label),
            ),
        )
        for n, label in enumerate(['a', 'a', 'b', 'b'])
    ]
    for _ in range(10):
        response = open_stream(True, *targets, software=['a', 'a', 'b', 'b'])
        data = b''.join(response.chunks).decode()
        assert 'data: a' not in data or 'data: b' not in data, data
        assert data.count('id: ') == 4


# Guards against ORDER: a stream whose software is gone is broken off.
def test_stream_ends_when_its_software_is_gone(target):
    targets = [
        target(
            f't{n}',
            first_or_rest(
                fake_target.events(1, 2, complete=False),
                fake_target.events(3, 4),
            ),
        )
        for n in range(2)
    ]
    response = open_stream(True, *targets, software=['v1', 'v2'])
    with pytest.raises(errors.TargetFailed):
        list(response.chunks)
    heads = [fields for fake in targets for _, fields in fake.heads]
    assert not [x for x in heads if 'last-event-id' in x]


# Guards against BUDGET: streams never told which requests crash targets.
def test_stream_that_crashes_targets_is_quarantined(target):
    targets = [target(f't{n}', fake_target.drop) for n in range(4)]
    state = fleet_parts.make_state()
    fleet_parts.register(state, *(fake.replica() for fake in targets))
    forwarder = make_forwarder(state)
    with pytest.raises(errors.TargetFailed):
        open_at(forwarder, True, attempts=2)
    with pytest.raises(errors.Quarantined):
        open_at(forwarder, True, attempts=2)
    assert sum(len(fake.heads) for fake in targets) == 2


def test_stream_on_idle_connections_crashes_as_many_targets(target):
    """The same when its requests find connections in the pool."""
    targets = [
        target(f't{n}', fake_target.respond(), fake_target.drop)
        for n in range(4)
    ]
    harness = test_forwarder.Harness(*targets)
    test_forwarder.warm_up(harness, *targets)
    forwarder = make_forwarder(harness.state, harness.forwarder.exchanger)
    for expected in (errors.TargetFailed, errors.Quarantined):
        with pytest.raises(expected):
            open_at(forwarder, True, attempts=2)
    assert sum(len(fake.heads) > 1 for fake in targets) == 2


def test_crash_after_the_first_event_is_not_held_against_a_stream(target):
    step = fake_target.events(1, 2, complete=False)
    targets = [target(f't{n}', step) for n in range(4)]
    state = fleet_parts.make_state()
    fleet_parts.register(state, *(fake.replica() for fake in targets))
    forwarder = make_forwarder(state)
    for _ in range(3):
        response = open_at(forwarder, True, attempts=2)
        with pytest.raises(errors.TargetFailed):
            list(response.chunks)
    assert not state.quarantine.snapshot()


ERRORS = {
    'empty failure': fake_target.respond(500, b''),
    'failure': fake_target.respond(500, b'Internal error\n\n'),
    'failure in events': fake_target.respond(
        500, b'id: 3\ndata: error\n\n', Content_Type='text/event-stream'
    ),
    'timeout': fake_target.respond(504, b''),
    'unknown path': fake_target.respond(404, b''),
    'unprocessable': fake_target.respond(422, b''),
    'other media type': fake_target.respond(
        200, b'', Content_Type='text/html'
    ),
    'no media type': fake_target.respond(200, b''),
}


# Guards against ORDER: a stream ended as if it were complete, or went on with
# the text of an error, after the target that should resume it had failed.
@pytest.mark.parametrize('kind', ERRORS)
def test_error_of_the_next_target_is_not_joined_to_a_stream(target, kind):
    step = first_or_rest(
        fake_target.events(1, 2, complete=False), ERRORS[kind]
    )
    response = open_stream(True, *(target(f't{n}', step) for n in range(3)))
    received = []
    with pytest.raises(errors.TargetFailed):
        received.extend(response.chunks)
    assert b''.join(received) in (b'', encoded_events(1, 2))


# Guards against ORDER: the next target fails, and another one can go on.
@pytest.mark.parametrize('kind', ERRORS)
def test_stream_goes_on_after_an_error_of_the_next_target(target, kind):
    begins = fake_target.events(1, 2, complete=False)
    rest = fake_target.events(3, 4)
    bad = target('t1', first_or_rest(begins, ERRORS[kind]))
    good = [target(f't{n}', first_or_rest(begins, rest)) for n in (2, 3)]
    for _ in range(6):
        response = open_stream(True, bad, *good)
        assert b''.join(response.chunks) == encoded_events(1, 2, 3, 4)


# Guards against ORDER: the body of an error counted as events, and its stream
# was resumed elsewhere under the error's status.
def test_error_of_the_first_target_is_forwarded_as_it_is(target):
    lone = target(
        't3',
        fake_target.respond(500, b'text', Content_Type='text/event-stream'),
    )
    response = open_stream(True, lone)
    assert response.head.status == 500
    assert b''.join(response.chunks) == b'text'


def first_or_rest(first_part, rest):
    def step(connection, fields):
        (rest if 'last-event-id' in fields else first_part)(connection, fields)

    return step


def test_stream_that_is_not_resumable_fails(target):
    targets = [
        target(f't{n}', fake_target.events(1, 2, complete=False))
        for n in range(2)
    ]
    response = open_stream(False, *targets)
    received = []
    with pytest.raises(errors.TargetFailed):
        received.extend(response.chunks)
    assert sum(len(fake.heads) for fake in targets) == 1


def test_busy_target_is_replaced_before_the_first_event(target):
    first = target('t1', fake_target.refuse)
    second = target('t2', fake_target.events(1))
    for _ in range(3):
        assert b''.join(
            open_stream(False, first, second).chunks
        ) == encoded_events(1)


def test_stream_start_resets_the_circuit_breaker(target):
    """Rare failures must not add up until the target is ejected."""
    first = target('t1', fake_target.events(1))
    state = fleet_parts.make_state()
    fleet_parts.register(state, first.replica())
    forwarder = stream_forwarder.StreamForwarder(
        state, fleet_parts.make_exchanger(state), random.Random(1)
    )
    breaker = state.replicas.state(first.replica()).breaker
    breaker.record_failure()
    breaker.record_failure()
    request = target_request.TargetRequest(
        'q1', 'POST', '/p/', 'h', (), b'', 'w', state.clock.monotonic() + 5
    )
    response = forwarder.open(
        request, make_route(False), cancel_token.CancelToken(), lambda: True
    )
    assert b''.join(response.chunks) == encoded_events(1)
    breaker.record_failure()
    assert breaker.allows_requests()


def test_all_targets_busy(target):
    first = target('t1', fake_target.refuse)
    with pytest.raises(errors.NoTarget):
        open_stream(False, first)


def test_unsigned_stream_is_not_forwarded(target):
    first = target('t1', fake_target.respond(200, b'', signature=''))
    second = target('t2', fake_target.events(1))
    for _ in range(3):
        assert b''.join(
            open_stream(True, first, second).chunks
        ) == encoded_events(1)


def test_a_resumable_stream_that_only_drips_goes_on_elsewhere(target):
    """Progress is counted in events: a byte now and then is none."""
    drip = test_endless_answers.flood(
        test_endless_answers.HEAD
        + b'Content-Type: text/event-stream\r\n\r\nid: 1\ndata: d1\n\n',
        b':',
        stream_forwarder.EVENT_TIMEOUT_S / 10,
    )
    step = first_or_rest(drip, fake_target.events(2, 3))
    targets = [target(f't{n}', step) for n in range(2)]
    response = open_stream(True, *targets)
    assert b''.join(response.chunks) == encoded_events(1, 2, 3)


class Ticks:
    """Sends an event at each tick of a clock, a second apart."""

    def __init__(self, clock):
        self.clock = clock
        self.ticks = threading.Semaphore(0)

    def step(self, connection, fields):
        first = int(fields.get('last-event-id', 0)) + 1
        fake_target.events(first, complete=None)(connection, fields)
        number = first
        while self.ticks.acquire(timeout=5):
            number += 1
            fake_target.send_event(connection, number)

    def read(self, chunks, seconds):
        for _ in range(seconds):
            next(chunks)
            self.clock.advance(1.0)
            self.ticks.release()


# Guards against ORDER and LOST: the origin of a stream was forgotten a minute
# after its first event, also while it ran.
@pytest.mark.parametrize('position', [NEW, TAKEN_UP])
def test_the_origin_of_a_running_stream_is_kept(target, position):
    clock = manual_clock.ManualClock()
    state = fleet_parts.make_state(clock=clock)
    ticks = Ticks(clock)
    fleet_parts.register(state, target('t1', ticks.step).replica())
    begun_by = position.begun_by or 'q1'
    if position.begun_by:
        origin = stream_origin.StreamOrigin('s', '')
        state.origins.table.record(begun_by, origin)
    published = []
    state.origins.publish = lambda name, origin: published.append(name)
    state.origins.publish_at_once = state.origins.publish
    response = open_at(make_forwarder(state), True, position=position)
    ticks.read(response.chunks, 150)
    assert state.origins.table.find(begun_by) is not None
    assert set(published) == {begun_by}
    assert len(published) >= 9
    response.chunks.close()
    clock.advance(40.0)
    assert state.origins.table.find(begun_by) is not None
    clock.advance(61.0)
    assert state.origins.table.find(begun_by) is None


# Guards against a stream that never ends, as its target goes on with the
# trailer.
@pytest.mark.parametrize('kind', test_endless_answers.TRAILERS)
def test_a_trailer_without_end_does_not_keep_a_stream(target, kind):
    endless = test_endless_answers.flood(*test_endless_answers.TRAILERS[kind])

    def step(connection, fields):
        resumed = 'last-event-id' in fields
        (fake_target.events() if resumed else endless)(connection, fields)

    response = open_stream(True, target('t1', step), target('t2', step))
    assert b''.join(response.chunks) == encoded_events(1, 2, 3)


def test_a_trailer_without_end_does_not_look_complete(target):
    step = test_endless_answers.flood(*test_endless_answers.TRAILERS['lines'])
    response = open_stream(False, target('t1', step))
    with pytest.raises(errors.TargetFailed):
        b''.join(response.chunks)


# Guards against ORDER: a stream went on at a target that had started again
# under its id with other software, before its registration was read.
@pytest.mark.parametrize('position', [NEW, TAKEN_UP])
def test_a_stream_does_not_go_on_at_the_next_process(target, position):
    def step(connection, fields):
        resumed = 'last-event-id' in fields
        first = fake_target.events(1, 2, 3, complete=False)
        rest = fake_target.events(4, 5)
        (rest if resumed else first)(connection, fields)

    state = fleet_parts.make_state()
    fakes = [target(name, step) for name in ('t1', 't2', 't3')]
    fleet_parts.register(state, *(fake.replica() for fake in fakes))
    origin = stream_origin.StreamOrigin('s', '')
    state.origins.table.record('q0', origin)
    restarted = {'t2'} if position is NEW else {'t1', 't2'}
    state.replicas.is_current = lambda item: item.id not in restarted
    state.replicas.rng = random.Random(2)
    response = open_at(make_forwarder(state), True, position=position)
    wanted = encoded_events(1, 2, 3, 4, 5)
    if position is TAKEN_UP:
        wanted = encoded_events(4, 5)
    assert b''.join(response.chunks) == wanted
    resumed_at = [
        fake.name
        for fake in fakes
        if any('last-event-id' in fields for _, fields in fake.heads)
    ]
    assert resumed_at[-1] not in restarted


def test_a_stream_that_targets_reset_has_not_crashed_them(target):
    state = fleet_parts.make_state()
    fakes = [target(name, fake_target.reset) for name in ('t1', 't2')]
    fleet_parts.register(state, *(fake.replica() for fake in fakes))
    with pytest.raises(errors.TargetFailed):
        open_at(make_forwarder(state), True)
    assert not state.quarantine.snapshot()
