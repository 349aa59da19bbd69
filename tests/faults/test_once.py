"""A call that must run at most once, under kills, freezes and outages."""

from concurrent import futures
import itertools

import pytest
import urllib3

from chestnutshunt.attempts import identity
from chestnutshunt.ledger import ledger
from chestnutshunt.routing import rendezvous
from chestnutshunt_standins import cluster

STEPS = [
    'once.started',
    'once.identity_seen',
    'ledger.before_write',
    'ledger.after_write',
    'once.claimed',
    'target.connected',
    'target.sent',
    'target.head_read',
    'answer.passing',
]
NAMES = itertools.count()


def name_with_home(home, names=('one', 'two')):
    """Return an unused identity whose ledger shard has a given home."""
    for number in NAMES:
        name = f'order-{number}'
        digest = identity.request_identity(
            'counter', 'orders', 'POST /orders', name, b''
        )
        shard = int(digest[:8], 16) % ledger.SHARD_COUNT
        if rendezvous.rank(f'ledger/{shard}', names)[0] == home:
            return name


def send_order(daemon, deployment, name):
    """Send an order; return ``ran``, the error's field or ``cut off``."""
    headers = {'Idempotency-Key': name}
    try:
        answer = daemon.call(
            '/s/orders/orders', name.encode(), deployment.token, headers
        )
        if answer.status == 200:
            assert answer.json()['echo'] == name
            return 'ran'
        return answer.json()['error']['ran']
    except urllib3.exceptions.HTTPError:
        return 'cut off'


def count_runs(deployment, name):
    return len([e for e in deployment.plain.log('run') if e['body'] == name])


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_runs_once_when_its_daemon_fails_at(fresh_deployment, step, fault):
    one, two = fresh_deployment.daemons
    name = name_with_home('one')
    one.arm(step)
    with futures.ThreadPoolExecutor(2) as pool:
        first = pool.submit(send_order, one, fresh_deployment, name)
        one.wait_step(step)
        if fault == 'kill':
            one.kill()
        else:
            one.freeze()
        second = send_order(two, fresh_deployment, name)
        runs_after_second = count_runs(fresh_deployment, name)
        assert runs_after_second <= 1
        if second == 'not run':
            assert runs_after_second == 0
        if second == 'ran':
            assert runs_after_second == 1
        if fault == 'freeze':
            one.thaw()
            one.release(step)
        first_outcome = first.result()
    runs = count_runs(fresh_deployment, name)
    assert runs <= 1
    if first_outcome == 'not run':
        assert runs == 0
    if first_outcome == 'ran':
        assert runs == 1
    third = send_order(two, fresh_deployment, name)
    assert count_runs(fresh_deployment, name) <= 1
    if third == 'not run':
        assert count_runs(fresh_deployment, name) == 0


@pytest.mark.parametrize('home', ['one', 'two'])
def test_runs_once_when_resent_at_once(fresh_deployment, home):
    name = name_with_home(home)
    fresh_deployment.plain.set_faults(hold=True)
    with futures.ThreadPoolExecutor(8) as pool:
        sent = [
            pool.submit(send_order, daemon, fresh_deployment, name)
            for daemon in fresh_deployment.daemons * 4
        ]
        cluster.wait_until(
            lambda: count_runs(fresh_deployment, name), 'the order runs'
        )
        fresh_deployment.plain.set_faults(hold=False)
        assert {item.result() for item in sent} == {'ran'}
    assert count_runs(fresh_deployment, name) == 1


def test_home_that_freezes_costs_only_time(fresh_deployment):
    one, two = fresh_deployment.daemons
    name = name_with_home('two')
    two.freeze()
    assert send_order(one, fresh_deployment, name) == 'ran'
    two.thaw()
    assert send_order(two, fresh_deployment, name) == 'ran'
    assert count_runs(fresh_deployment, name) == 1


def test_outage_of_the_platform_refuses_and_later_runs(fresh_deployment):
    one, two = fresh_deployment.daemons
    name = name_with_home('one')
    fresh_deployment.platform.set_faults(down=True)
    assert send_order(one, fresh_deployment, name) == 'may have run'
    assert send_order(two, fresh_deployment, name) == 'may have run'
    assert count_runs(fresh_deployment, name) == 0
    fresh_deployment.platform.set_faults(down=False)
    assert send_order(two, fresh_deployment, name) == 'ran'
    assert send_order(one, fresh_deployment, name) == 'ran'
    assert count_runs(fresh_deployment, name) == 1


@pytest.mark.parametrize('lost', [1, 2, 3])
def test_lost_replies_of_the_platform(fresh_deployment, lost):
    name = name_with_home('one')
    fresh_deployment.platform.set_faults(lose_replies=lost)
    for daemon in fresh_deployment.daemons * 2:
        send_order(daemon, fresh_deployment, name)
        assert count_runs(fresh_deployment, name) <= 1
    assert (
        send_order(fresh_deployment.daemons[0], fresh_deployment, name)
        == 'ran'
    )
    assert count_runs(fresh_deployment, name) == 1


def test_slow_platform(fresh_deployment):
    name = name_with_home('one')
    fresh_deployment.platform.set_faults(delay=0.5)
    with futures.ThreadPoolExecutor(2) as pool:
        sent = [
            pool.submit(send_order, d, fresh_deployment, name)
            for d in fresh_deployment.daemons
        ]
        assert {item.result() for item in sent} == {'ran'}
    assert count_runs(fresh_deployment, name) == 1


def test_daemons_that_do_not_know_each_other(deployment):
    """Both daemons act as home of a shard; the conditional write decides."""
    for daemon in deployment.daemons:
        daemon.close()
    deployment.daemons.clear()
    for name in ('one', 'two'):
        deployment.daemons.append(
            cluster.Daemon(
                deployment, name, 'marmara-a', [], heartbeat_s=3600.0
            )
        )
        deployment.stack.callback(deployment.daemons[-1].close)
    for daemon in deployment.daemons:
        cluster.wait_until(daemon.ready, f'{daemon.name} is ready')
    deployment.wait_config()
    names = [f'apart-{number}' for number in range(20)]
    with futures.ThreadPoolExecutor(16) as pool:
        sent = [
            pool.submit(send_order, daemon, deployment, name)
            for name in names
            for daemon in deployment.daemons
        ]
        assert all(item.result() for item in sent)
    assert [count_runs(deployment, name) for name in names] == [1] * len(names)


def test_answer_that_breaks_off_is_not_passed_on(fresh_deployment):
    one, two = fresh_deployment.daemons
    name = name_with_home('one')
    fresh_deployment.plain.set_faults(cut=True)
    assert send_order(one, fresh_deployment, name) == 'may have run'
    fresh_deployment.plain.set_faults(cut=False)
    assert send_order(two, fresh_deployment, name) == 'may have run'
    assert count_runs(fresh_deployment, name) == 1


def test_refusal_for_want_of_targets_is_truly_not_run(fresh_deployment):
    one, two = fresh_deployment.daemons
    name = name_with_home('one')
    stored = fresh_deployment.client.get('target', 'plain-1').unwrap()
    unreachable = {**stored.value, 'address': cluster.free_address()}
    moved = fresh_deployment.client.put(
        'target', 'plain-1', unreachable, stored.version
    ).unwrap()
    cluster.wait_until(
        lambda: all(
            d.dump()['config']['revision'] >= moved.version
            for d in fresh_deployment.daemons
        ),
        'the target has moved',
    )
    assert send_order(one, fresh_deployment, name) == 'not run'
    assert count_runs(fresh_deployment, name) == 0
    back = fresh_deployment.client.put(
        'target', 'plain-1', stored.value, moved.version
    )
    version = back.unwrap().version
    cluster.wait_until(
        lambda: two.dump()['config']['revision'] >= version,
        'the target is back',
    )
    assert send_order(two, fresh_deployment, name) == 'ran'
    assert count_runs(fresh_deployment, name) == 1


def test_caller_that_goes_away_leaves_a_whole_answer(fresh_deployment):
    """A resend gets the answer that its first caller did not wait for."""
    one, two = fresh_deployment.daemons
    name = name_with_home('one')
    one.arm('answer.passing')
    headers = {
        'Idempotency-Key': name,
        'Authorization': f'Bearer {fresh_deployment.token}',
    }
    with pytest.raises(urllib3.exceptions.HTTPError):
        cluster.HTTP.request(
            'POST',
            f'http://{one.caller}/s/orders/orders',
            body=name.encode(),
            headers=headers,
            timeout=0.3,
        )
    one.wait_step('answer.passing')
    one.release('answer.passing')
    assert send_order(two, fresh_deployment, name) == 'ran'
    assert send_order(one, fresh_deployment, name) == 'ran'
    assert count_runs(fresh_deployment, name) == 1
