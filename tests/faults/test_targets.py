"""Starting, draining, stopping and losing targets."""

from concurrent import futures
import json

import pytest

from chestnutshunt_standins import cluster
from chestnutshunt_standins import engine

MODEL_PATH = '/s/model/v1/generate'


@pytest.fixture
def deployment(tmp_path):
    with cluster.cluster(tmp_path) as started:
        started.engines = [
            started.target(
                'engine',
                'model',
                'marmara-a',
                f'engine-{number}',
                cheap=number >= 2,
                fenced=number != 1,
            )
            for number in range(4)
        ]
        started.editor.set(
            'services/model',
            {'protocol': 'engine', 'timeout_s': 60.0, 'retry_share': 1.0},
        )
        started.token = started.workspace('counter')
        for name in ('one', 'two'):
            started.daemon(name)
        started.wait_ready()
        yield started


def states(deployment):
    stored = deployment.client.list_kind('target').unwrap().objects
    return {item.name: item.value['state'] for item in stored}


def orders(deployment):
    return deployment.platform.log('order')


def check_stream(daemon, deployment, prompt, count):
    body = json.dumps({'prompt': prompt, 'max_tokens': count})
    answer = daemon.call(MODEL_PATH, body, deployment.token)
    assert answer.status == 200, answer.data
    lines = [json.loads(line) for line in answer.data.splitlines()]
    assert [x['token'] for x in lines[:-1]] == [
        engine.expected_token(prompt, 0, index) for index in range(count)
    ]
    assert lines[-1]['done']


def scale_down(deployment, **settings):
    deployment.editor.set(
        'datacentres/marmara-a',
        {'min_targets': 1, 'scale_down_after_s': 0.0, **settings},
    )


def test_planned_stop_cuts_off_nothing(deployment):
    for item in deployment.engines:
        item.set_faults(token_time=0.01)
    with futures.ThreadPoolExecutor(12) as pool:
        sent = [
            pool.submit(
                check_stream,
                deployment.daemons[n % 2],
                deployment,
                f'p{n}',
                700,
            )
            for n in range(12)
        ]
        cluster.wait_until(
            lambda: all(e.log('generate') for e in deployment.engines),
            'all engines have requests',
        )
        scale_down(deployment)
        cluster.wait_until(
            lambda: 'stopped' in states(deployment).values(),
            'a target has stopped',
            60,
        )
        for item in sent:
            item.result()
    for event in orders(deployment):
        assert not event['stale']
    started = sum(len(e.log('generate')) for e in deployment.engines)
    finished = sum(len(e.log('finished')) for e in deployment.engines)
    assert started == finished == 12


def test_leaving_target_gets_no_new_work(deployment):
    scale_down(deployment)
    cluster.wait_until(
        lambda: 'leaving' in states(deployment).values(), 'a target is leaving'
    )
    deployment.wait_config()
    left = [
        name
        for name, state in states(deployment).items()
        if state != 'running'
    ]
    before = {e.name: len(e.log('generate')) for e in deployment.engines}
    for number in range(40):
        check_stream(
            deployment.daemons[number % 2], deployment, f'after {number}', 1
        )
    for item in deployment.engines:
        if item.name in left:
            assert len(item.log('generate')) == before[item.name]


def test_no_stop_while_a_daemon_is_unheard(deployment):
    cut_off = deployment.daemons[1]
    cut_off.freeze()
    cluster.wait_until(
        lambda: 'two' not in deployment.daemons[0].live_peers(),
        'two is not a live peer',
    )
    scale_down(deployment)
    cluster.wait_until(
        lambda: 'leaving' in states(deployment).values(), 'a target is leaving'
    )
    order_times = [e['at'] for e in orders(deployment)]
    cluster.wait_until(
        lambda: (
            any(
                e['at'] > order_times[0] + 8 for e in deployment.platform.log()
            )
            or log_clock(deployment)
        ),
        'more than the notice period of 8 s',
        40,
    )
    assert 'stopped' not in states(deployment).values()
    cut_off.thaw()
    cluster.wait_until(
        lambda: 'stopped' in states(deployment).values(),
        'a target has stopped',
    )


def log_clock(deployment):
    """Have the platform log an event that shows its clock."""
    deployment.duties.report_usage('test', 0, -1, {})
    return False


def test_more_demand_starts_targets(deployment):
    stored = {
        item.name: item
        for item in deployment.client.list_kind('target').unwrap().objects
    }
    for name in ('engine-1', 'engine-3'):
        value = {**stored[name].value, 'state': 'stopped'}
        deployment.client.put(
            'target', name, value, stored[name].version
        ).unwrap()
    deployment.editor.set('services/model', {'target_concurrency': 2})
    deployment.editor.set(
        'datacentres/marmara-a', {'scale_down_after_s': 60.0}
    )
    deployment.wait_config()
    for item in deployment.engines:
        item.set_faults(token_time=0.02)
    with futures.ThreadPoolExecutor(16) as pool:
        sent = [
            pool.submit(
                check_stream,
                deployment.daemons[n % 2],
                deployment,
                f'd{n}',
                100,
            )
            for n in range(24)
        ]
        cluster.wait_until(
            lambda: states(deployment)['engine-3'] == 'running',
            'engine-3 starts',
        )
        for item in sent:
            item.result()


@pytest.mark.parametrize('step', ['fleet.before_order', 'fleet.after_order'])
def test_controller_frozen_past_its_lease(deployment, step):
    """A thawed controller sends no order after those of its successor."""
    holder = cluster.wait_until(lambda: controller(deployment), 'a controller')
    holder.arm(step)
    scale_down(deployment)
    holder.wait_step(step)
    holder.freeze()
    other = next(d for d in deployment.daemons if d is not holder)
    cluster.wait_until(lambda: controller(deployment) is other, 'a successor')
    cluster.wait_until(
        lambda: [e for e in orders(deployment) if fence(e) > 0], 'an order'
    )
    holder.thaw()
    holder.release(step)
    cluster.wait_until(
        lambda: 'stopped' in states(deployment).values(),
        'a target has stopped',
    )
    fences = [fence(event) for event in orders(deployment)]
    assert fences == sorted(fences)
    assert not any(event['stale'] for event in orders(deployment))


def fence(event):
    return event['order']['fence']


def controller(deployment):
    lease = deployment.client.get('lease', 'fleet/marmara-a').unwrap()
    name = lease.value['holder'].split('/')[0] if lease else ''
    return next((d for d in deployment.daemons if d.name == name), None)


def test_reclaimed_zone_moves_its_streams(deployment):
    for item in deployment.engines:
        item.set_faults(token_time=0.02)
    with futures.ThreadPoolExecutor(12) as pool:
        sent = [
            pool.submit(
                check_stream,
                deployment.daemons[n % 2],
                deployment,
                f'r{n}',
                150,
            )
            for n in range(12)
        ]
        cluster.wait_until(
            lambda: all(e.log('generate') for e in deployment.engines),
            'all engines have requests',
        )
        cluster.HTTP.request(
            'POST',
            deployment.platform.url + '/reclaim',
            body=json.dumps({'datacentre': 'marmara-a'}),
        )
        for item in deployment.engines[2:]:
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
