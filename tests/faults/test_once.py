"""A call that may not be repeated, under kills, freezes and outages."""

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
    """Return an unused identity whose ledger shard is at a daemon."""
    for number in NAMES:
        name = f'order-{number}'
        digest = identity.request_identity(
            'counter', 'orders', 'POST /orders', name, b''
        )
        shard = int(digest[:8], 16) % ledger.SHARDS
        if rendezvous.rank(f'ledger/{shard}', names)[0] == home:
            return name


def order(daemon, parts, name):
    """Send an order; return status and what it says of having run."""
    headers = {'Idempotency-Key': name}
    try:
        answer = daemon.call(
            '/s/orders/orders', name.encode(), parts.token, headers
        )
        if answer.status == 200:
            assert answer.json()['echo'] == name
            return 'ran'
        return answer.json()['error']['ran']
    except urllib3.exceptions.HTTPError:
        return 'cut off'


def runs_of(parts, name):
    return len([e for e in parts.plain.log('run') if e['body'] == name])


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_runs_once_when_its_daemon_fails_at(pair, step, fault):
    one, two = pair.daemons
    name = name_with_home('one')
    one.arm(step)
    with futures.ThreadPoolExecutor(2) as pool:
        first = pool.submit(order, one, pair, name)
        one.wait_step(step)
        if fault == 'kill':
            one.kill()
        else:
            one.freeze()
        second = order(two, pair, name)
        runs_then = runs_of(pair, name)
        assert runs_then <= 1
        if second == 'not run':
            assert runs_then == 0
        if second == 'ran':
            assert runs_then == 1
        if fault == 'freeze':
            one.thaw()
            one.release(step)
        told = first.result()
    runs = runs_of(pair, name)
    assert runs <= 1
    if told == 'not run':
        assert runs == 0
    if told == 'ran':
        assert runs == 1
    third = order(two, pair, name)
    assert runs_of(pair, name) <= 1
    if third == 'not run':
        assert runs_of(pair, name) == 0


@pytest.mark.parametrize('home', ['one', 'two'])
def test_runs_once_when_resent_at_once(pair, home):
    name = name_with_home(home)
    pair.plain.set_faults(hold=True)
    with futures.ThreadPoolExecutor(8) as pool:
        sent = [
            pool.submit(order, daemon, pair, name)
            for daemon in pair.daemons * 4
        ]
        cluster.wait_until(lambda: runs_of(pair, name), 'the order runs')
        pair.plain.set_faults(hold=False)
        assert {item.result() for item in sent} == {'ran'}
    assert runs_of(pair, name) == 1


def test_home_that_freezes_costs_only_time(pair):
    one, two = pair.daemons
    name = name_with_home('two')
    two.freeze()
    assert order(one, pair, name) == 'ran'
    two.thaw()
    assert order(two, pair, name) == 'ran'
    assert runs_of(pair, name) == 1


def test_outage_of_the_platform_refuses_and_later_runs(pair):
    one, two = pair.daemons
    name = name_with_home('one')
    pair.platform.set_faults(down=True)
    assert order(one, pair, name) == 'may have run'
    assert order(two, pair, name) == 'may have run'
    assert runs_of(pair, name) == 0
    pair.platform.set_faults(down=False)
    assert order(two, pair, name) == 'ran'
    assert order(one, pair, name) == 'ran'
    assert runs_of(pair, name) == 1


@pytest.mark.parametrize('lost', [1, 2, 3])
def test_lost_replies_of_the_platform(pair, lost):
    name = name_with_home('one')
    pair.platform.set_faults(lose_replies=lost)
    for daemon in pair.daemons * 2:
        order(daemon, pair, name)
        assert runs_of(pair, name) <= 1
    assert order(pair.daemons[0], pair, name) == 'ran'
    assert runs_of(pair, name) == 1


def test_slow_platform(pair):
    name = name_with_home('one')
    pair.platform.set_faults(delay=0.5)
    with futures.ThreadPoolExecutor(2) as pool:
        sent = [pool.submit(order, d, pair, name) for d in pair.daemons]
        assert {item.result() for item in sent} == {'ran'}
    assert runs_of(pair, name) == 1


def test_daemons_that_do_not_know_each_other(parts):
    """Both think that they are home; the conditional write decides."""
    for old in parts.daemons:
        old.close()
    parts.daemons.clear()
    for name in ('one', 'two'):
        parts.daemons.append(
            cluster.Daemon(parts, name, 'marmara-a', [], heartbeat_s=3600.0)
        )
        parts.stack.callback(parts.daemons[-1].close)
    for daemon in parts.daemons:
        cluster.wait_until(daemon.ready, 'ready')
    parts.wait_config()
    names = [f'apart-{number}' for number in range(20)]
    with futures.ThreadPoolExecutor(16) as pool:
        sent = [
            pool.submit(order, daemon, parts, name)
            for name in names
            for daemon in parts.daemons
        ]
        assert all(item.result() for item in sent)
    assert [runs_of(parts, name) for name in names] == [1] * len(names)


def test_answer_that_breaks_off_is_not_passed_on(pair):
    one, two = pair.daemons
    name = name_with_home('one')
    pair.plain.set_faults(cut=True)
    assert order(one, pair, name) == 'may have run'
    pair.plain.set_faults(cut=False)
    assert order(two, pair, name) == 'may have run'
    assert runs_of(pair, name) == 1


def test_refusal_for_want_of_targets_is_truly_not_run(pair):
    one, two = pair.daemons
    name = name_with_home('one')
    held = pair.client.get('target', 'plain-1').unwrap()
    away = {**held.value, 'address': cluster.free_address()}
    moved = pair.client.put('target', 'plain-1', away, held.version).unwrap()
    cluster.wait_until(
        lambda: all(
            d.dump()['config']['revision'] >= moved.version
            for d in pair.daemons
        ),
        'the target has moved',
    )
    assert order(one, pair, name) == 'not run'
    assert runs_of(pair, name) == 0
    back = pair.client.put('target', 'plain-1', held.value, moved.version)
    version = back.unwrap().version
    cluster.wait_until(
        lambda: two.dump()['config']['revision'] >= version,
        'the target is back',
    )
    assert order(two, pair, name) == 'ran'
    assert runs_of(pair, name) == 1


def test_caller_that_goes_away_leaves_a_whole_answer(pair):
    """A resend is given the answer that its first caller did not wait for."""
    one, two = pair.daemons
    name = name_with_home('one')
    one.arm('answer.passing')
    headers = {
        'Idempotency-Key': name,
        'Authorization': f'Bearer {pair.token}',
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
    assert order(two, pair, name) == 'ran'
    assert order(one, pair, name) == 'ran'
    assert runs_of(pair, name) == 1
