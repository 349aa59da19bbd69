"""Accepted settings reach every daemon and are never rolled back."""

from concurrent import futures
import contextlib

import pytest

from chestnutshunt import errors
from chestnutshunt_standins import cluster
from chestnutshunt_standins import silent_link


@pytest.fixture
def deployment(tmp_path):
    with cluster.cluster(tmp_path) as started:
        started.target('plain', 'look', 'marmara-a', 'plain-1')
        started.editor.set('services/look', {})
        started.token = started.workspace('counter')
        yield started


def config_revision(daemon):
    return daemon.dump()['config']['revision']


def test_racing_operators_one_wins(deployment):
    before = deployment.editor.read()
    deployment.editor.set('services/look', {'timeout_s': 1.0}, before)
    with pytest.raises(errors.ConfigConflict):
        deployment.editor.set('services/look', {'timeout_s': 2.0}, before)
    with futures.ThreadPoolExecutor(8) as pool:
        base = deployment.editor.read()

        def change(number):
            with contextlib.suppress(errors.ConfigConflict):
                deployment.editor.set(
                    'services/look', {'max_attempts': number}, base
                )
                return number
            return None

        winners = [x for x in pool.map(change, range(1, 9)) if x]
    assert len(winners) == 1
    settings = deployment.editor.read().settings('services/look')
    assert settings.max_attempts == winners[0]
    assert settings.timeout_s == 1.0


def test_bad_node_leaves_the_last_good_one_in_force(deployment):
    daemon = deployment.daemon('one')
    deployment.wait_ready()
    stored = deployment.client.get('config', 'services/look').unwrap()
    invalid = {'timeout_s': -1}
    deployment.client.put(
        'config', 'services/look', invalid, stored.version
    ).unwrap()
    cluster.wait_until(
        lambda: 'services/look' in daemon.dump()['config']['refused'],
        'the node is refused',
    )
    assert daemon.call('/s/look/x', b'', deployment.token).status == 200


def test_daemon_that_starts_in_an_outage(deployment):
    deployment.daemon('one')
    deployment.daemon('two')
    deployment.wait_ready()
    newest = config_revision(deployment.daemons[0])
    deployment.platform.set_faults(down=True)
    late = deployment.daemon('three')
    cluster.wait_until(late.ready, 'the late daemon is ready')
    cluster.wait_until(
        lambda: config_revision(late) >= newest, 'it has the newest tree'
    )
    assert late.call('/s/look/x', b'', deployment.token).status == 200


def test_daemon_restarted_in_an_outage_does_not_go_back(deployment):
    one = deployment.daemon('one')
    deployment.daemon('two')
    deployment.wait_ready()
    deployment.editor.set('services/look', {'timeout_s': 3.0})
    deployment.wait_config()
    newest = config_revision(one)
    deployment.platform.set_faults(down=True)
    one.kill()
    deployment.daemons.remove(one)
    restarted = deployment.daemon('one')
    cluster.wait_until(restarted.ready, 'the restarted daemon is ready')
    cluster.wait_until(
        lambda: config_revision(restarted) >= newest, 'it has the newest tree'
    )


def test_cut_off_data_centre_serves_and_catches_up(deployment):
    """A daemon without the platform gets settings from its peers.

    Once the peers are silent as well, a service set to ``refuse`` refuses.
    """
    deployment.editor.set('services/strict', {'cut_off': 'refuse'})
    with contextlib.ExitStack() as stack:
        link = silent_link.SilentLink(deployment.platform.address)
        stack.callback(link.close)
        outer = deployment.daemon('outer', 'marmara-a')
        direct_url, deployment.platform_url = (
            deployment.platform_url,
            f'http://{link.address}',
        )
        cut = cluster.Daemon(deployment, 'cut', 'ege-a', [])
        stack.callback(cut.close)
        deployment.platform_url = direct_url
        deployment.daemons.append(cut)
        deployment.wait_ready()
        link.cut()
        key = deployment.key('counter')
        cluster.wait_until(
            lambda: cut.call('/s/look/x', b'', key).status == 200,
            'a change comes through the other data centre',
            5.0,
        )
        outer.freeze()
        cluster.wait_until(
            lambda: cut.dump()['platform_age_ms'] > 5000,
            'no news of the platform for 5 s',
        )
        assert cut.call('/s/look/x', b'', deployment.token).status == 200
        refused = cut.call('/s/strict/x', b'', deployment.token)
        assert refused.json()['error']['kind'] == 'cut_off'
        late = deployment.key('counter')
        link.heal()
        outer.thaw()
        cluster.wait_until(
            lambda: cut.call('/s/look/x', b'', late).status == 200,
            'the daemon has caught up',
        )


def test_change_during_a_silent_watch(deployment):
    deployment.daemon('one')
    deployment.wait_ready()
    deployment.platform.set_faults(silent_watches=True)
    node = deployment.editor.set('services/look', {'timeout_s': 4.0})
    deployment.platform.set_faults(silent_watches=False)
    cluster.wait_until(
        lambda: config_revision(deployment.daemons[0]) >= node.version,
        'the change is in force',
    )
