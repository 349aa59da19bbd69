"""What a caller is told, and what targets run, when attempts fail."""

import threading

import pytest

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
        attempts=attempts,
        destinations=(destination.Destination('s'),),
    )


class Bench:
    def __init__(self, *targets):
        self.state = fleet_parts.make_state()
        fleet_parts.register(self.state, *(x.replica() for x in targets))
        self.forwarder = fleet_parts.make_forwarder(self.state)
        self.cutter = cancel_token.CancelToken()

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

    def send(self, taken, may_send=lambda: True, **fields):
        return self.forwarder.forward(
            self.request(**fields), taken, self.cutter, may_send
        )


def test_passes_the_request_on_and_the_answer_back(target):
    one = target('t1', fake_target.respond(200, b'bytes', X_Extra='y'))
    found = Bench(one).send(make_route())
    assert (found.head.status, found.body) == (200, b'bytes')
    assert ('X-Extra', 'y') in found.headers
    line, fields = one.heads[0]
    assert line == 'POST /p/x?a=1 HTTP/1.1'
    assert one.bodies == [b'body']
    assert fields['x-tenant'] == 'w'
    assert fields['x-expect-instance'] == 't1'
    assert 0 < int(fields['x-deadline-ms']) <= 5000


def test_a_busy_target_is_left_for_another(target):
    one = target('t1', fake_target.refuse)
    two = target('t2', fake_target.respond())
    assert Bench(one, two).send(make_route()).head.status == 200


@pytest.mark.parametrize('kind', [KINDS.IDEMPOTENT, KINDS.ONCE])
def test_not_run_is_said_when_all_are_busy(target, kind):
    one = target('t1', fake_target.refuse)
    with pytest.raises(errors.NoTarget) as caught:
        Bench(one).send(make_route(kind))
    assert caught.value.status == 503
    assert caught.value.retry_after > 0


def test_a_lost_answer_of_a_call_that_may_not_be_repeated(target):
    one = target('t1', fake_target.drop)
    two = target('t2', fake_target.drop)
    with pytest.raises(errors.TargetFailed) as caught:
        Bench(one, two).send(make_route(KINDS.ONCE))
    assert caught.value.status == 502
    assert len(one.heads) + len(two.heads) == 1


def test_a_lost_answer_is_fetched_elsewhere_if_repeatable(target):
    one = target('t1', fake_target.drop)
    two = target('t2', fake_target.respond())
    assert Bench(one, two).send(make_route()).head.status == 200


def test_no_more_targets_than_the_route_allows(target):
    held = [target(f't{n}', fake_target.drop) for n in range(4)]
    with pytest.raises(errors.TargetFailed):
        Bench(*held).send(make_route(attempts=2))
    assert sum(bool(item.heads) for item in held) == 2


def test_a_silent_target_is_hedged_and_its_answer_not_needed(target):
    hold = threading.Event()
    one = target('t1', fake_target.drop_after(hold))
    two = target('t2', fake_target.respond())
    made = Bench(one, two)
    for _ in range(4):
        assert made.send(make_route()).head.status == 200
    hold.set()


def test_a_call_that_takes_longer_than_the_hedge_is_not_cut_off(target):
    """Scoring calls longer than half the goal never ended."""
    go = threading.Event()

    def slow(connection, fields):
        go.wait(20)
        fake_target.respond()(connection, fields)

    held = [target(f't{n}', slow) for n in range(3)]
    made = Bench(*held)
    timer = threading.Timer(0.5, go.set)
    timer.start()
    found = made.send(make_route(attempts=4, goal_s=0.1))
    assert found.head.status == 200


def test_an_unsigned_or_short_answer_is_not_passed_on(target):
    def short(connection, fields):
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Length: 50\r\nX-Request-Id: q1\r\n'
            b'X-Server-Stamp: s\r\n\r\nhalf'
        )
        fake_target.drop(connection, fields)

    one = target('t1', short)
    two = target('t2', fake_target.respond(200, b'whole'))
    for _ in range(4):
        assert Bench(one, two).send(make_route()).body == b'whole'
    three = target('t3', fake_target.respond(signature=''))
    with pytest.raises(errors.TargetFailed):
        Bench(three).send(make_route())


def test_the_answer_of_another_request_is_not_passed_on(target):
    def crossed(connection, fields):
        fake_target.respond(200, b'old')(connection, {'x-request-id': 'q0'})

    one = target('t1', crossed)
    two = target('t2', fake_target.respond(200, b'own'))
    for _ in range(4):
        assert Bench(one, two).send(make_route()).body == b'own'


def test_an_answer_without_an_id_is_not_passed_on(target):
    def unnamed(connection, fields):
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
            b'X-Server-Stamp: s\r\n\r\nold'
        )

    one = target('t1', unnamed)
    two = target('t2', fake_target.respond(200, b'own'))
    for _ in range(4):
        assert Bench(one, two).send(make_route()).body == b'own'


def test_a_late_second_answer_is_not_taken_for_that_of_a_retry(target):
    """An item was refused, sent again, and got what nobody made for it."""
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

    one = target('t1', refuse_and_later_more, right)
    made = Bench(one)
    request = made.request()
    taken = made.forwarder.exchanger
    with taken.exchange(
        one.replica(), request, 2.0, True, made.cutter
    ) as answer:
        answer.body()
    with taken.exchange(
        one.replica(), request, 2.0, True, made.cutter
    ) as answer:
        assert answer.body() == b'right'


def test_a_targets_failure_is_passed_on_as_it_is(target):
    one = target('t1', fake_target.respond(500, b'why'))
    found = Bench(one).send(make_route())
    assert (found.head.status, found.body) == (500, b'why')


def test_a_request_that_crashes_targets_is_refused(target):
    held = [target(f't{n}', fake_target.drop) for n in range(3)]
    made = Bench(*held)
    with pytest.raises(errors.TargetFailed):
        made.send(make_route(attempts=2))
    with pytest.raises(errors.Quarantined):
        made.send(make_route(attempts=2))
    assert sum(len(item.heads) for item in held) == 2


def test_a_caller_that_leaves_frees_its_target(target):
    one = target('t1', fake_target.wait_for_disconnect)
    made = Bench(one)
    threading.Timer(0.3, made.cutter.cancel).start()
    with pytest.raises(cancel_token.CallerLeft):
        made.send(make_route(attempts=1))
    assert one.disconnected.wait(10)


def test_a_final_answer_at_the_deadline(target):
    hold = threading.Event()
    one = target('t1', fake_target.drop_after(hold))
    with pytest.raises(errors.OutcomeUnknown) as caught:
        Bench(one).send(make_route(), seconds=0.4)
    assert caught.value.status == 504
    hold.set()


def test_a_withdrawn_key_stops_the_next_attempt(target):
    one = target('t1', fake_target.respond())
    with pytest.raises(errors.NoTarget):
        Bench(one).send(make_route(), may_send=lambda: False)
    assert not one.heads


def test_usage_counts_what_ran(target):
    one = target('t1', fake_target.refuse, fake_target.respond())
    made = Bench(one)
    made.send(make_route(goal_s=2.0))
    window = made.state.counts.window_at(made.state.time.now())
    near = [made.state.counts.sum_of(window - n) for n in (0, 1)]
    assert sum(counts.get('w', 0) for counts in near) == 1
