"""Responses to callers, and requests at targets, when attempts fail."""

import threading
import time

import attrs
import pytest

from chestnutshunt.attempts import quarantine
from chestnutshunt.deployment import destination
from chestnutshunt.deployment import route
from chestnutshunt.deployment import route_kind
from chestnutshunt import errors
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import target_request
from tests import fake_target
from tests import fleet_parts

KINDS = route_kind.RouteKind


def make_route(kind=KINDS.IDEMPOTENT, attempts=2, goal_s=0.2):
    return route.Route(
        'r',
        'h',
        '/p/',
        kind,
        timeout_s=5.0,
        goal_s=goal_s,
        max_attempts=attempts,
        destinations=(destination.Destination('s'),),
    )


class Harness:
    def __init__(self, *targets):
        self.state = fleet_parts.make_state()
        fleet_parts.register(self.state, *(x.replica() for x in targets))
        self.forwarder = fleet_parts.make_forwarder(self.state)
        self.cancel_token = cancel_token.CancelToken()

    def request(self, seconds=5.0, body=b'body'):
        return target_request.TargetRequest(
            id='q1',
            method='POST',
            path='/p/x?a=1',
            host='h',
            headers=(('x-model', 'm'), ('x-tenant', 'forged')),
            body=body,
            workspace='w',
            deadline=self.state.clock.monotonic() + seconds,
        )

    def send(self, route, may_send=lambda: True, **fields):
        return self.forwarder.forward(
            self.request(**fields), route, self.cancel_token, may_send
        )


def test_forwards_request_and_response(target):
    first = target('t1', fake_target.respond(200, b'bytes', X_Extra='y'))
    response = Harness(first).send(make_route())
    assert (response.head.status, response.body) == (200, b'bytes')
    assert ('X-Extra', 'y') in response.headers
    line, fields = first.heads[0]
    assert line == 'POST /p/x?a=1 HTTP/1.1'
    assert first.bodies == [b'body']
    assert fields['x-tenant'] == 'w'
    assert fields['x-expect-instance'] == 't1'
    assert 0 < int(fields['x-deadline-ms']) <= 5000


def test_busy_target_is_replaced_by_another(target):
    first = target('t1', fake_target.refuse)
    second = target('t2', fake_target.respond())
    assert Harness(first, second).send(make_route()).head.status == 200


@pytest.mark.parametrize('kind', [KINDS.IDEMPOTENT, KINDS.ONCE])
def test_all_targets_busy(target, kind):
    first = target('t1', fake_target.refuse)
    with pytest.raises(errors.NoTarget) as caught:
        Harness(first).send(make_route(kind))
    assert caught.value.status == 503
    assert caught.value.retry_after_s > 0


def test_lost_response_of_non_idempotent_request_is_not_retried(target):
    first = target('t1', fake_target.drop)
    second = target('t2', fake_target.drop)
    with pytest.raises(errors.TargetFailed) as caught:
        Harness(first, second).send(make_route(KINDS.ONCE))
    assert caught.value.status == 502
    assert len(first.heads) + len(second.heads) == 1


def test_lost_response_of_idempotent_request_is_retried(target):
    first = target('t1', fake_target.drop)
    second = target('t2', fake_target.respond())
    assert Harness(first, second).send(make_route()).head.status == 200


def test_route_limits_the_targets_tried(target):
    targets = [target(f't{n}', fake_target.drop) for n in range(4)]
    with pytest.raises(errors.TargetFailed):
        Harness(*targets).send(make_route(attempts=2))
    assert sum(bool(fake.heads) for fake in targets) == 2


def test_silent_target_is_hedged(target):
    release = threading.Event()
    first = target('t1', fake_target.drop_after(release))
    second = target('t2', fake_target.respond())
    harness = Harness(first, second)
    for _ in range(4):
        assert harness.send(make_route()).head.status == 200
    release.set()


def test_slow_request_is_not_broken_off_by_hedging(target):
    """A request slower than the hedging delay must get its response.

    Scoring calls that took longer than half the goal never ended.
    """
    release = threading.Event()

    def slow(connection, fields):
        release.wait(20)
        fake_target.respond()(connection, fields)

    targets = [target(f't{n}', slow) for n in range(3)]
    harness = Harness(*targets)
    timer = threading.Timer(0.5, release.set)
    timer.start()
    response = harness.send(make_route(attempts=4, goal_s=0.1))
    assert response.head.status == 200


def test_unsigned_or_short_response_is_not_forwarded(target):
    def short(connection, fields):
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Length: 50\r\nX-Request-Id: q1\r\n'
            b'X-Server-Stamp: s\r\n\r\nhalf'
        )
        fake_target.drop(connection, fields)

    first = target('t1', short)
    second = target('t2', fake_target.respond(200, b'whole'))
    for _ in range(4):
        assert Harness(first, second).send(make_route()).body == b'whole'
    third = target('t3', fake_target.respond(signature=''))
    with pytest.raises(errors.TargetFailed):
        Harness(third).send(make_route())


def test_response_of_another_request_is_not_forwarded(target):
    def crossed(connection, fields):
        fake_target.respond(200, b'old')(connection, {'x-request-id': 'q0'})

    first = target('t1', crossed)
    second = target('t2', fake_target.respond(200, b'own'))
    for _ in range(4):
        assert Harness(first, second).send(make_route()).body == b'own'


def test_response_without_request_id_is_not_forwarded(target):
    def unnamed(connection, fields):
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
            b'X-Server-Stamp: s\r\n\r\nold'
        )

    first = target('t1', unnamed)
    second = target('t2', fake_target.respond(200, b'own'))
    for _ in range(4):
        assert Harness(first, second).send(make_route()).body == b'own'


def test_late_second_response_is_not_used_for_a_retry(target):
    """A target that refuses a request and later sends a response anyway.

    The retry must not read that response from the reused connection; items
    have received results that were not theirs.
    """
    sent_late = threading.Event()

    def refuse_and_later_more(connection, fields):
        fake_target.refuse(connection, fields)

        def late():
            fake_target.respond(200, b'late')(connection, fields)
            sent_late.set()

        threading.Timer(0.1, late).start()

    def right(connection, fields):
        sent_late.wait(20)
        fake_target.respond(200, b'right')(connection, fields)

    first = target('t1', refuse_and_later_more, right)
    harness = Harness(first)
    request = harness.request()
    exchanger = harness.forwarder.exchanger
    with exchanger.exchange(
        first.replica(), request, 2.0, True, harness.cancel_token
    ) as answer:
        answer.body()
    with exchanger.exchange(
        first.replica(), request, 2.0, True, harness.cancel_token
    ) as answer:
        assert answer.body() == b'right'


def test_error_response_of_target_is_forwarded(target):
    first = target('t1', fake_target.respond(500, b'why'))
    response = Harness(first).send(make_route())
    assert (response.head.status, response.body) == (500, b'why')


def test_request_that_crashes_targets_is_quarantined(target):
    targets = [target(f't{n}', fake_target.drop) for n in range(3)]
    harness = Harness(*targets)
    with pytest.raises(errors.TargetFailed):
        harness.send(make_route(attempts=2))
    with pytest.raises(errors.Quarantined):
        harness.send(make_route(attempts=2))
    assert sum(len(fake.heads) for fake in targets) == 2


# Guards against DENIED: a sound request is at some target at most crashes.
def test_request_that_is_served_between_crashes_is_not_refused(target):
    good = target('good', fake_target.respond())
    harness = Harness(good)
    view = harness.state.replicas
    for number in range(4):
        bad = target(f't{number}', fake_target.drop)
        fleet_parts.register(harness.state, good.replica(), bad.replica())
        view.begin_request(good.replica())
        assert harness.send(make_route(attempts=2)).head.status == 200
        assert bad.heads
        time.sleep(1.1 * quarantine.WAVE_S)


def make_fragile(target, name, answer):
    """Return a target that answers once and then crashes."""
    made = target(name, answer, fake_target.crash(lambda: made))
    return made


def warm_up(harness, *targets):
    """Leave an idle connection to each target."""
    request = attrs.evolve(harness.request(), id='warm-up', body=b'usual')
    for fake in targets:
        with harness.forwarder.exchanger.exchange(
            fake.replica(), request, 2.0, False, harness.cancel_token
        ) as response:
            response.body()


# Guards against BUDGET: a crash on a pooled connection was taken for the close
# of an idle one, so the request went on to every target.
def test_request_that_crashes_targets_on_idle_connections(target):
    targets = [
        make_fragile(target, f't{n}', fake_target.respond()) for n in range(4)
    ]
    harness = Harness(*targets)
    warm_up(harness, *targets)
    with pytest.raises(errors.TargetFailed):
        harness.send(make_route(attempts=2))
    assert sum(len(fake.heads) == 2 for fake in targets) == 2
    with pytest.raises(errors.Quarantined):
        harness.send(make_route(attempts=2))


# Guards against BUDGET: the target is back, as another process, before the
# request is sent to it again.
def test_crash_of_a_target_that_is_back_at_once(target):
    refuse = fake_target.respond(421, b'', '')
    targets = [
        target(f't{n}', fake_target.respond(), fake_target.drop, refuse)
        for n in range(4)
    ]
    harness = Harness(*targets)
    warm_up(harness, *targets)
    with pytest.raises(errors.TargetFailed):
        harness.send(make_route(attempts=2))
    with pytest.raises(errors.Quarantined):
        harness.send(make_route(attempts=2))
    assert sum(len(fake.heads) > 1 for fake in targets) == 2


def test_idle_connection_that_was_closed_is_no_crash(target):
    """The request is sent again, on a new connection, and to the same target.

    A target closes connections that were idle, at times when a request is on
    its way.
    """
    step = fake_target.respond(200, b'own')
    targets = [target(f't{n}', step, fake_target.drop, step) for n in range(2)]
    harness = Harness(*targets)
    warm_up(harness, *targets)
    assert harness.send(make_route(attempts=1)).body == b'own'
    assert sorted(len(fake.heads) for fake in targets) == [1, 3]
    assert not harness.state.quarantine.snapshot()


def test_caller_disconnect_frees_the_target(target):
    first = target('t1', fake_target.wait_for_disconnect)
    harness = Harness(first)
    threading.Timer(0.3, harness.cancel_token.cancel).start()
    with pytest.raises(cancel_token.CallerLeft):
        harness.send(make_route(attempts=1))
    assert first.disconnected.wait(10)


def test_deadline_ends_the_request(target):
    release = threading.Event()
    first = target('t1', fake_target.drop_after(release))
    with pytest.raises(errors.OutcomeUnknown) as caught:
        Harness(first).send(make_route(), seconds=0.4)
    assert caught.value.status == 504
    release.set()


def test_withdrawn_key_stops_the_next_attempt(target):
    first = target('t1', fake_target.respond())
    with pytest.raises(errors.NoTarget):
        Harness(first).send(make_route(), may_send=lambda: False)
    assert not first.heads


def test_usage_counts_requests_that_ran(target):
    first = target('t1', fake_target.refuse, fake_target.respond())
    harness = Harness(first)
    harness.send(make_route(goal_s=2.0))
    window = harness.state.counts.window_at(harness.state.time.now())
    near = [harness.state.counts.fleet_totals(window - n) for n in (0, 1)]
    assert sum(counts.get('w', 0) for counts in near) == 1


# Guards against DENIED: requests that targets with too many connections had
# reset were refused by all daemons, as if they had crashed them.
@pytest.mark.parametrize('kind', [KINDS.IDEMPOTENT, KINDS.ONCE])
def test_a_target_that_resets_connections_has_not_crashed(target, kind):
    fakes = [target(name, fake_target.reset) for name in ('t1', 't2')]
    harness = Harness(*fakes)
    for _ in range(3):
        with pytest.raises(errors.TargetFailed):
            harness.send(make_route(kind))
        harness.state.clock.sleep(0.3)
    assert not harness.state.quarantine.snapshot()


def test_a_reset_by_a_target_that_is_gone_is_a_crash(target):
    fakes = []
    for name in ('t1', 't2'):
        step = fake_target.reset_and_crash(lambda n=name: fakes[int(n[1]) - 1])
        fakes.append(target(name, step))
    harness = Harness(*fakes)
    with pytest.raises(errors.ChestnutshuntError):
        harness.send(make_route())
    (crashes,) = harness.state.quarantine.snapshot().values()
    assert len(crashes) == 2
