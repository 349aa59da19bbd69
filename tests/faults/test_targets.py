"""Starting, draining, stopping and losing targets."""

from concurrent import futures
import json

import pytest

from chestnutshunt_standins import cluster
from chestnutshunt_standins import engine

MODEL = '/s/model/v1/generate'


@pytest.fixture
def fleet(tmp_path):
    with cluster.cluster(tmp_path) as made:
        made.engines = [
            made.target(
                'engine',
                'model',
                'marmara-a',
                f'engine-{number}',
                cheap=number >= 2,
                fenced=number != 1,
            )
            for number in range(4)
        ]
        made.editor.set(
            'services/model',
            {'protocol': 'engine', 'timeout_s': 60.0, 'retry_share': 1.0},
        )
        made.token = made.workspace('counter')
        for name in ('one', 'two'):
            made.daemon(name)
        made.wait_ready()
        yield made


def states(fleet):
    held = fleet.client.list_kind('target').unwrap().objects
    return {item.name: item.value['state'] for item in held}


def orders(fleet):
    return fleet.platform.log('order')


def ask(daemon, fleet, prompt, count):
    body = json.dumps({'prompt': prompt, 'max_tokens': count})
    answer = daemon.call(MODEL, body, fleet.token)
    assert answer.status == 200, answer.data
    lines = [json.loads(line) for line in answer.data.splitlines()]
    assert [x['token'] for x in lines[:-1]] == [
        engine.expected_token(prompt, 0, index) for index in range(count)
    ]
    assert lines[-1]['done']


def scale_down(fleet, **settings):
    fleet.editor.set(
        'datacentres/marmara-a',
        {'min_targets': 1, 'scale_down_after_s': 0.0, **settings},
    )


def test_planned_stop_cuts_off_nothing(fleet):
    for item in fleet.engines:
        item.set_faults(token_time=0.01)
    with futures.ThreadPoolExecutor(12) as pool:
        sent = [
            pool.submit(ask, fleet.daemons[n % 2], fleet, f'p{n}', 700)
            for n in range(12)
        ]
        cluster.wait_until(
            lambda: all(e.log('generate') for e in fleet.engines), 'all work'
        )
        scale_down(fleet)
        cluster.wait_until(
            lambda: 'stopped' in states(fleet).values(), 'one has stopped', 60
        )
        for item in sent:
            item.result()
    for event in orders(fleet):
        assert not event['stale']
    started = sum(len(e.log('generate')) for e in fleet.engines)
    finished = sum(len(e.log('finished')) for e in fleet.engines)
    assert started == finished == 12


def test_leaving_target_gets_no_new_work(fleet):
    scale_down(fleet)
    cluster.wait_until(
        lambda: 'leaving' in states(fleet).values(), 'one is leaving'
    )
    fleet.wait_config()
    left = [
        name for name, state in states(fleet).items() if state != 'running'
    ]
    before = {e.name: len(e.log('generate')) for e in fleet.engines}
    for number in range(40):
        ask(fleet.daemons[number % 2], fleet, f'after {number}', 1)
    for item in fleet.engines:
        if item.name in left:
            assert len(item.log('generate')) == before[item.name]


def test_no_stop_while_a_daemon_is_unheard(fleet):
    cut_off = fleet.daemons[1]
    cut_off.freeze()
    cluster.wait_until(
        lambda: 'two' not in fleet.daemons[0].live_peers(), 'two is unheard'
    )
    scale_down(fleet)
    cluster.wait_until(
        lambda: 'leaving' in states(fleet).values(), 'one is leaving'
    )
    marks = [e['at'] for e in orders(fleet)]
    cluster.wait_until(
        lambda: (
            any(e['at'] > marks[0] + 8 for e in fleet.platform.log())
            or tick(fleet)
        ),
        'longer than the notice',
        40,
    )
    assert 'stopped' not in states(fleet).values()
    cut_off.thaw()
    cluster.wait_until(
        lambda: 'stopped' in states(fleet).values(), 'one has stopped'
    )


def tick(fleet):
    """Have the platform log an event, by which its clock can be read."""
    fleet.duties.report_usage('test', 0, -1, {})
    return False


def test_more_demand_starts_targets(fleet):
    held = {
        item.name: item
        for item in fleet.client.list_kind('target').unwrap().objects
    }
    for name in ('engine-1', 'engine-3'):
        value = {**held[name].value, 'state': 'stopped'}
        fleet.client.put('target', name, value, held[name].version).unwrap()
    fleet.editor.set('services/model', {'target_concurrency': 2})
    fleet.editor.set('datacentres/marmara-a', {'scale_down_after_s': 60.0})
    fleet.wait_config()
    for item in fleet.engines:
        item.set_faults(token_time=0.02)
    with futures.ThreadPoolExecutor(16) as pool:
        sent = [
            pool.submit(ask, fleet.daemons[n % 2], fleet, f'd{n}', 100)
            for n in range(24)
        ]
        cluster.wait_until(
            lambda: states(fleet)['engine-3'] == 'running', 'a start'
        )
        for item in sent:
            item.result()


@pytest.mark.parametrize('step', ['fleet.before_order', 'fleet.after_order'])
def test_controller_frozen_past_its_lease(fleet, step):
    """A woken controller sends nothing that its successor did not."""
    held = cluster.wait_until(lambda: controller(fleet), 'a controller')
    held.arm(step)
    scale_down(fleet)
    held.wait_step(step)
    held.freeze()
    other = next(d for d in fleet.daemons if d is not held)
    cluster.wait_until(lambda: controller(fleet) is other, 'a successor')
    cluster.wait_until(
        lambda: [e for e in orders(fleet) if fence(e) > 0], 'an order'
    )
    held.thaw()
    held.release(step)
    cluster.wait_until(
        lambda: 'stopped' in states(fleet).values(), 'one has stopped'
    )
    fences = [fence(event) for event in orders(fleet)]
    assert fences == sorted(fences)
    assert not any(event['stale'] for event in orders(fleet))


def fence(event):
    return event['order']['fence']


def controller(fleet):
    held = fleet.client.get('lease', 'fleet/marmara-a').unwrap()
    name = held.value['holder'].split('/')[0] if held else ''
    return next((d for d in fleet.daemons if d.name == name), None)


def test_reclaimed_zone_moves_its_streams(fleet):
    for item in fleet.engines:
        item.set_faults(token_time=0.02)
    with futures.ThreadPoolExecutor(12) as pool:
        sent = [
            pool.submit(ask, fleet.daemons[n % 2], fleet, f'r{n}', 150)
            for n in range(12)
        ]
        cluster.wait_until(
            lambda: all(e.log('generate') for e in fleet.engines), 'all work'
        )
        cluster.HTTP.request(
            'POST',
            fleet.platform.url + '/reclaim',
            body=json.dumps({'datacentre': 'marmara-a'}),
        )
        for item in fleet.engines[2:]:
            cluster.wait_until(
                lambda e=item: (
                    cluster.HTTP.request('GET', e.url + '/load').json()[
                        'in_flight'
                    ]
                    == 0
                ),
                'the streams have moved',
                5.0,
            )
            item.kill()
        for item in sent:
            item.result()
