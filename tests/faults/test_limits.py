"""The limits of a workspace apply to all daemons together."""

from concurrent import futures
import itertools

import pytest

from chestnutshunt_standins import cluster

CONCURRENCY_LIMIT = 12


@pytest.fixture
def deployment(tmp_path):
    with cluster.cluster(tmp_path) as started:
        started.plain = started.target('plain', 'look', 'marmara-a', 'plain-1')
        started.editor.set(
            'services/look', {'target_concurrency': 200, 'timeout_s': 10.0}
        )
        started.token = started.workspace(
            'partner', concurrency=CONCURRENCY_LIMIT
        )
        for name in ('one', 'two', 'three'):
            started.daemon(name)
        started.wait_ready()
        yield started


def flood(daemons, token, count):
    """Send requests from concurrent callers; return the statuses."""
    with futures.ThreadPoolExecutor(60) as pool:
        cycle = itertools.islice(itertools.cycle(daemons), count)
        return list(
            pool.map(lambda d: d.call('/s/look/x', b'', token).status, cycle)
        )


def max_concurrency(plain):
    """Return the largest number of calls that ran concurrently."""
    running = peak = 0
    for event in plain.log():
        if event['event'] in ('run', 'answered'):
            running += 1 if event['event'] == 'run' else -1
            peak = max(peak, running)
    return peak


def test_concurrency_over_all_daemons(deployment):
    deployment.plain.set_faults(delay=0.05)
    statuses = flood(deployment.daemons, deployment.token, 600)
    assert set(statuses) == {200, 429}
    assert 1 < max_concurrency(deployment.plain) <= CONCURRENCY_LIMIT


def test_replaced_and_frozen_daemons(deployment):
    deployment.plain.set_faults(delay=0.05)
    one, two, three = deployment.daemons
    flood(deployment.daemons, deployment.token, 150)
    one.freeze()
    flood([two, three], deployment.token, 300)
    one.thaw()
    two.kill()
    flood([one, three], deployment.token, 300)
    assert max_concurrency(deployment.plain) <= CONCURRENCY_LIMIT


def test_share_of_a_daemon_that_is_gone_comes_back(deployment):
    deployment.plain.set_faults(delay=0.02)
    one = deployment.daemons[0]
    flood([one], deployment.token, 200)

    def held_concurrency(daemon):
        return daemon.dump()['limits']['partner']['holding'][2]

    cluster.wait_until(
        lambda: held_concurrency(one) >= CONCURRENCY_LIMIT - 1,
        'one holds most of the limit',
    )
    one.kill()
    deployment.daemons.remove(one)
    deployment.daemon('one')
    deployment.wait_ready()
    two = deployment.daemons[0]

    def share_has_grown():
        flood([two], deployment.token, 60)
        return held_concurrency(two) >= CONCURRENCY_LIMIT / 2

    cluster.wait_until(
        share_has_grown, 'the share of the dead daemon is returned'
    )


def test_outage_of_the_platform_keeps_the_shares(deployment):
    deployment.plain.set_faults(delay=0.02)
    flood(deployment.daemons, deployment.token, 200)
    deployment.platform.set_faults(down=True)
    statuses = flood(deployment.daemons, deployment.token, 200)
    assert 200 in statuses
    assert max_concurrency(deployment.plain) <= CONCURRENCY_LIMIT
