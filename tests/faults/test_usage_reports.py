"""Each request is in one report, and a window has one set of figures."""

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
def billed(tmp_path):
    with cluster.cluster(tmp_path) as made:
        made.plain = made.target('plain', 'look', 'marmara-a', 'plain-1')
        made.editor.set('services/look', {})
        made.editor.set('reports/usage', {'window_s': 1.0, 'grace_s': 0.5})
        made.token = made.workspace('partner')
        for name in ('one', 'two', 'three'):
            made.daemon(name)
        made.wait_ready()
        yield made


def reports(billed):
    return [event['report'] for event in billed.platform.log('usage')]


def total(billed):
    """Return the requests over all reports, each window counted once."""
    by_window = {item['window']: item for item in reports(billed)}
    return sum(
        requests
        for item in by_window.values()
        for requests in item['counts'].values()
    )


def check(billed):
    """No window has two sets of figures."""
    seen = collections.defaultdict(list)
    for item in reports(billed):
        seen[item['window']].append(item)
    assert all(each == found[0] for found in seen.values() for each in found)


def send(daemons, token, count):
    for number in range(count):
        daemon = daemons[number % len(daemons)]
        assert daemon.call('/s/look/x', b'', token).status == 200


def reporter(billed):
    held = billed.client.get('lease', 'usage').unwrap()
    name = held.value['holder'].split('/')[0] if held else ''
    return next((d for d in billed.daemons if d.name == name), None)


def test_counted_once(billed):
    send(billed.daemons, billed.token, 60)
    cluster.wait_until(lambda: total(billed) >= 60, 'all are reported')
    assert total(billed) == 60
    check(billed)


@pytest.mark.parametrize('place', [0, 1, 2])
def test_counting_daemon_dies(billed, place):
    cluster.wait_until(lambda: reports(billed), 'a first report')
    dying = billed.daemons[place]
    send([dying], billed.token, 25)
    dying.kill()
    send([d for d in billed.daemons if d is not dying], billed.token, 10)
    cluster.wait_until(lambda: total(billed) >= 35, 'all are reported')
    assert total(billed) == 35
    check(billed)


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_reporter_fails_at(billed, step, fault):
    held = cluster.wait_until(lambda: reporter(billed), 'a reporter')
    cluster.wait_until(lambda: reports(billed), 'a first report')
    held.arm(step)
    send(billed.daemons, billed.token, 30)
    held.wait_step(step)
    if fault == 'kill':
        held.kill()
    else:
        held.freeze()
    rest = [d for d in billed.daemons if d is not held]
    send(rest, billed.token, 20)
    newest = max(item['window'] for item in reports(billed))
    cluster.wait_until(
        lambda: max(r['window'] for r in reports(billed)) > newest + 1,
        'a successor reports',
    )
    if fault == 'freeze':
        held.thaw()
        held.release(step)
    send(rest, billed.token, 10)
    cluster.wait_until(lambda: total(billed) >= 60, 'all are reported')
    assert total(billed) == 60
    check(billed)


def test_outage_longer_than_a_window(billed):
    cluster.wait_until(lambda: reports(billed), 'a first report')
    billed.platform.set_faults(down=True)
    send(billed.daemons, billed.token, 30)
    window = max(item['window'] for item in reports(billed))
    billed.platform.set_faults(down=False, lose_replies=2)
    cluster.wait_until(lambda: total(billed) >= 30, 'all are reported')
    assert total(billed) == 30
    assert max(item['window'] for item in reports(billed)) > window
    check(billed)
