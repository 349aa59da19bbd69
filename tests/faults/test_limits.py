"""A workspace's limits hold over all daemons together."""

from concurrent import futures
import itertools

import pytest

from chestnutshunt_standins import cluster

LIMIT = 12


@pytest.fixture
def shared(tmp_path):
    with cluster.cluster(tmp_path) as made:
        made.plain = made.target('plain', 'look', 'marmara-a', 'plain-1')
        made.editor.set(
            'services/look', {'target_concurrency': 200, 'timeout_s': 10.0}
        )
        made.token = made.workspace('partner', concurrency=LIMIT)
        for name in ('one', 'two', 'three'):
            made.daemon(name)
        made.wait_ready()
        yield made


def flood(daemons, token, count):
    """Send from many callers; return the statuses."""
    with futures.ThreadPoolExecutor(60) as pool:
        cycle = itertools.islice(itertools.cycle(daemons), count)
        return list(
            pool.map(lambda d: d.call('/s/look/x', b'', token).status, cycle)
        )


def most_at_once(plain):
    """Return the largest number of calls that ran at one time."""
    level = most = 0
    for event in plain.log():
        if event['event'] in ('run', 'answered'):
            level += 1 if event['event'] == 'run' else -1
            most = max(most, level)
    return most


def test_concurrency_over_all_daemons(shared):
    shared.plain.set_faults(delay=0.05)
    statuses = flood(shared.daemons, shared.token, 600)
    assert set(statuses) == {200, 429}
    assert 1 < most_at_once(shared.plain) <= LIMIT


def test_replaced_and_frozen_daemons(shared):
    shared.plain.set_faults(delay=0.05)
    one, two, three = shared.daemons
    flood(shared.daemons, shared.token, 150)
    one.freeze()
    flood([two, three], shared.token, 300)
    one.thaw()
    two.kill()
    flood([one, three], shared.token, 300)
    assert most_at_once(shared.plain) <= LIMIT


def test_share_of_a_daemon_that_is_gone_comes_back(shared):
    shared.plain.set_faults(delay=0.02)
    one = shared.daemons[0]
    flood([one], shared.token, 200)

    def held(daemon):
        return daemon.dump()['limits']['partner']['holding'][2]

    cluster.wait_until(lambda: held(one) >= LIMIT - 1, 'one holds most')
    one.kill()
    shared.daemons.remove(one)
    shared.daemon('one')
    shared.wait_ready()
    two = shared.daemons[0]

    def grown():
        flood([two], shared.token, 60)
        return held(two) >= LIMIT / 2

    cluster.wait_until(grown, 'the share has come back')


def test_outage_of_the_platform_keeps_the_shares(shared):
    shared.plain.set_faults(delay=0.02)
    flood(shared.daemons, shared.token, 200)
    shared.platform.set_faults(down=True)
    statuses = flood(shared.daemons, shared.token, 200)
    assert 200 in statuses
    assert most_at_once(shared.plain) <= LIMIT
