"""Weight versions that enter the text of an item in different ways."""

import contextlib
import threading

import attrs
import pytest

from chestnutshunt.deployment import route
from chestnutshunt.deployment import route_kind
from chestnutshunt.jobs import item_state
from chestnutshunt.jobs import version_rule
from tests import fake_target
from tests.jobs import test_job_runner

Harness = test_job_runner.Harness
make_job = test_job_runner.make_job
wait_until = test_job_runner.wait_until
MINIMUM = 5


@pytest.fixture
def stack():
    with contextlib.ExitStack() as exit_stack:
        yield exit_stack


def change_to(version):
    """Return a step whose target loads other weights after two events."""

    def step(connection, fields):
        first = 3 if 'last-event-id' in fields else 1
        numbers = range(first, 3)
        fake_target.events(*numbers, complete=None, version=MINIMUM)(
            connection, fields
        )
        with contextlib.suppress(OSError):
            fake_target.send_event(connection, 3, version=version)
            fake_target.send_event(connection, 4)
            connection.sendall(b'0\r\n\r\n')

    return step


# Guards against VERSION: a target loaded older weights under a running text,
# by an order that arrived late, and the text went on there.
def test_a_text_does_not_go_on_with_weights_below_the_minimum(stack):
    harness = Harness(stack)
    old = harness.add('t1', change_to(MINIMUM - 1))
    run = harness.run(make_job(count=1))
    (entry,) = run.item_states.values()
    wait_until(lambda: old.heads and not entry.running)
    rest = harness.add('t2', test_job_runner.whole_or_rest('d'))
    wait_until(lambda: run.is_done)
    (listed,) = run.result_log.results
    assert (listed.text, listed.versions) == ('d1\nd2\nd3\nd4', (MINIMUM,))
    # Nothing that was generated before is generated again.
    assert rest.heads[0][1]['last-event-id'] == '2'


def test_the_only_target_is_used_again_at_suitable_weights(stack):
    harness = Harness(stack)
    step = change_to(MINIMUM - 1)
    target = harness.add('t1', step, test_job_runner.whole_or_rest('d'))
    run = harness.run(make_job(count=1))
    (entry,) = run.item_states.values()
    wait_until(lambda: target.heads and not entry.running)
    sound = harness.state.replicas.state(harness.targets[0]).breaker
    assert sound.allows_requests()
    harness.state.replicas.record_version(harness.targets[0], 'm', MINIMUM)
    wait_until(lambda: run.is_done)
    (listed,) = run.result_log.results
    assert (listed.text, listed.versions) == ('d1\nd2\nd3\nd4', (MINIMUM,))


# The sound cases beside the fault: newer weights, and older ones that the job
# allows, do not end a text.
@pytest.mark.parametrize(
    ('minimum', 'version'), [(5, 6), (5, 9), (4, 4), (1, 2)]
)
def test_a_text_goes_on_with_other_weights_from_the_minimum(
    stack, minimum, version
):
    harness = Harness(stack)
    target = harness.add('t1', change_to(version))
    (listed,) = harness.results(make_job(minimum=minimum))
    assert (listed.text, listed.versions) == (
        'd1\nd2\nd3\nd4',
        (MINIMUM, version),
    )
    assert len(target.heads) == 1
    view = harness.state.replicas
    assert view.has_version(harness.targets[0], 'm', 0, version)


# Guards against VERSION: the versions of such a result were listed as none.
def test_a_text_of_unknown_weights_is_not_listed(stack):
    harness = Harness(stack)
    target = harness.add(
        't1', fake_target.events(1), test_job_runner.COMPLETE_STREAM
    )
    (listed,) = harness.results(make_job())
    assert listed.versions == (MINIMUM,)
    assert len(target.heads) == 2


# Such a target is at fault: it must not be asked again and again.
def test_a_target_that_names_no_version_is_ejected(stack):
    harness = Harness(stack)
    harness.add('t1', fake_target.events(1))
    run = harness.run(make_job())
    breaker = harness.state.replicas.state(harness.targets[0]).breaker
    wait_until(lambda: not breaker.allows_requests())
    assert not run.is_done


# Guards against VERSION: the route came to require a single version while a
# text of two was being scored.
def test_a_text_is_checked_by_the_route_that_is_in_force_at_its_end(stack):
    harness = Harness(stack)
    change = threading.Event()

    def hold(connection, fields):
        change.wait(20)
        fake_target.respond()(connection, fields)

    harness.add('t1', change_to(MINIMUM + 1), test_job_runner.COMPLETE_STREAM)
    scorer = harness.add('s1', hold, kind='score', versions={})
    run = harness.run(make_job(scored=True))
    wait_until(lambda: scorer.heads)
    harness.state.deployment = test_job_runner.make_deployment(
        single_version=True
    )
    change.set()
    wait_until(lambda: run.is_done)
    (listed,) = run.result_log.results
    assert (listed.text, listed.versions) == ('d1\nd2\nd3', (MINIMUM,))
    assert len(scorer.heads) == 2


def carry_over(versions, **fields):
    """Return whether a later job uses a text of these versions."""
    job = make_job('k', count=1)
    earlier = item_state.ItemState(job.items[0])
    for number, version in enumerate(versions):
        earlier.add_event(number, 'd', version, version_rule.VersionRule())
    later = item_state.ItemState(job.items[0])
    current = route.Route(
        'model', 'h', '/model/', route_kind.RouteKind.JOBS, **fields
    )
    rule = version_rule.rule_for(attrs.evolve(job, minimum_version=5), current)
    return later.resume_from(earlier, rule)


# Guards against VERSION: a text of two versions, left by an earlier job, was
# listed on a route that had come to require a single one.
def test_a_text_of_two_versions_is_not_used_on_a_single_version_route():
    assert not carry_over([5, 6], single_version=True)
    assert carry_over([6, 6], single_version=True)
    assert carry_over([5, 6])
    assert not carry_over([6, 4])
    assert not carry_over([None])


def test_rule_tells_a_change_from_a_version_that_is_too_old():
    rule = version_rule.VersionRule(minimum=5, single=True, named=True)
    rule.check(5, [])
    rule.check(6, [6])
    with pytest.raises(version_rule.UnsuitableVersion) as caught:
        rule.check(6, [5])
    assert caught.value.is_change
    with pytest.raises(version_rule.UnsuitableVersion) as caught:
        rule.check(4, [5])
    assert not caught.value.is_change
    with pytest.raises(ValueError, match='No weight version'):
        rule.check(None, [5])
    version_rule.VersionRule().check(None, [])
