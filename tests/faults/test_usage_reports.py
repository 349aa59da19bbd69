"""Each request is reported once, and the reports of a window agree."""

import collections

import pytest

from chestnutshunt_standins import cluster

STEPS = [
    'usage.before_freeze',
    'usage.after_freeze',
    'usage.before_report',
    'usage.after_report',
]


@pytest.fixture
def deployment(tmp_path):
    with cluster.cluster(tmp_path) as started:
        started.plain = started.target('plain', 'look', 'marmara-a', 'plain-1')
        started.editor.set('services/look', {})
        started.editor.set('reports/usage', {'window_s': 1.0, 'grace_s': 0.5})
        started.token = started.workspace('partner')
        for name in ('one', 'two', 'three'):
            started.daemon(name)
        started.wait_ready()
        yield started


def reports(deployment):
    return [event['report'] for event in deployment.platform.log('usage')]


def total_requests(deployment):
    """Return the total of all reports, counting each window once."""
    by_window = {item['window']: item for item in reports(deployment)}
    return sum(
        requests
        for item in by_window.values()
        for requests in item['counts'].values()
    )


def check_reports(deployment):
    """Check that all reports of a window are equal."""
    by_window = collections.defaultdict(list)
    for item in reports(deployment):
        by_window[item['window']].append(item)
    assert all(
        each == same_window[0]
        for same_window in by_window.values()
        for each in same_window
    )


def send(daemons, token, count):
    for number in range(count):
        daemon = daemons[number % len(daemons)]
        assert daemon.call('/s/look/x', b'', token).status == 200


def reporter(deployment):
    lease = deployment.client.get('lease', 'usage').unwrap()
    name = lease.value['holder'].split('/')[0] if lease else ''
    return next((d for d in deployment.daemons if d.name == name), None)


def test_counted_once(deployment):
    send(deployment.daemons, deployment.token, 60)
    cluster.wait_until(
        lambda: total_requests(deployment) >= 60, 'all requests are reported'
    )
    assert total_requests(deployment) == 60
    check_reports(deployment)


@pytest.mark.parametrize('index', [0, 1, 2])
def test_counting_daemon_dies(deployment, index):
    cluster.wait_until(lambda: reports(deployment), 'a first report')
    dying = deployment.daemons[index]
    send([dying], deployment.token, 25)
    dying.kill()
    send(
        [d for d in deployment.daemons if d is not dying], deployment.token, 10
    )
    cluster.wait_until(
        lambda: total_requests(deployment) >= 35, 'all requests are reported'
    )
    assert total_requests(deployment) == 35
    check_reports(deployment)


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_reporter_fails_at(deployment, step, fault):
    holder = cluster.wait_until(lambda: reporter(deployment), 'a reporter')
    cluster.wait_until(lambda: reports(deployment), 'a first report')
    holder.arm(step)
    send(deployment.daemons, deployment.token, 30)
    holder.wait_step(step)
    if fault == 'kill':
        holder.kill()
    else:
        holder.freeze()
    rest = [d for d in deployment.daemons if d is not holder]
    send(rest, deployment.token, 20)
    newest = max(item['window'] for item in reports(deployment))
    cluster.wait_until(
        lambda: max(r['window'] for r in reports(deployment)) > newest + 1,
        'a successor reports',
    )
    if fault == 'freeze':
        holder.thaw()
        holder.release(step)
    send(rest, deployment.token, 10)
    cluster.wait_until(
        lambda: total_requests(deployment) >= 60, 'all requests are reported'
    )
    assert total_requests(deployment) == 60
    check_reports(deployment)


def test_outage_longer_than_a_window(deployment):
    cluster.wait_until(lambda: reports(deployment), 'a first report')
    deployment.platform.set_faults(down=True)
    send(deployment.daemons, deployment.token, 30)
    window = max(item['window'] for item in reports(deployment))
    deployment.platform.set_faults(down=False, lose_replies=2)
    cluster.wait_until(
        lambda: total_requests(deployment) >= 30, 'all requests are reported'
    )
    assert total_requests(deployment) == 30
    assert max(item['window'] for item in reports(deployment)) > window
    check_reports(deployment)
