"""Accepted settings reach every daemon and never go back."""

from concurrent import futures
import contextlib

import pytest

from chestnutshunt import errors
from chestnutshunt_standins import cluster
from chestnutshunt_standins import silent_link


@pytest.fixture
def three(tmp_path):
    with cluster.cluster(tmp_path) as made:
        made.target('plain', 'look', 'marmara-a', 'plain-1')
        made.editor.set('services/look', {})
        made.token = made.workspace('counter')
        yield made


def revision(daemon):
    return daemon.dump()['config']['revision']


def test_racing_operators_one_wins(three):
    seen = three.editor.read()
    three.editor.set('services/look', {'timeout_s': 1.0}, seen)
    with pytest.raises(errors.ConfigConflict):
        three.editor.set('services/look', {'timeout_s': 2.0}, seen)
    with futures.ThreadPoolExecutor(8) as pool:
        base = three.editor.read()

        def change(number):
            with contextlib.suppress(errors.ConfigConflict):
                three.editor.set(
                    'services/look', {'max_attempts': number}, base
                )
                return number
            return None

        winners = [x for x in pool.map(change, range(1, 9)) if x]
    assert len(winners) == 1
    held = three.editor.read().settings('services/look')
    assert held.max_attempts == winners[0]
    assert held.timeout_s == 1.0


def test_bad_node_leaves_the_last_good_one_in_force(three):
    daemon = three.daemon('one')
    three.wait_ready()
    held = three.client.get('config', 'services/look').unwrap()
    wrong = {'timeout_s': -1}
    three.client.put('config', 'services/look', wrong, held.version).unwrap()
    cluster.wait_until(
        lambda: 'services/look' in daemon.dump()['config']['refused'],
        'the node is refused',
    )
    assert daemon.call('/s/look/x', b'', three.token).status == 200


def test_daemon_that_starts_in_an_outage(three):
    three.daemon('one')
    three.daemon('two')
    three.wait_ready()
    newest = revision(three.daemons[0])
    three.platform.set_faults(down=True)
    late = three.daemon('three')
    cluster.wait_until(late.ready, 'the late daemon is ready')
    cluster.wait_until(
        lambda: revision(late) >= newest, 'it has the newest tree'
    )
    assert late.call('/s/look/x', b'', three.token).status == 200


def test_daemon_restarted_in_an_outage_does_not_go_back(three):
    one = three.daemon('one')
    three.daemon('two')
    three.wait_ready()
    three.editor.set('services/look', {'timeout_s': 3.0})
    three.wait_config()
    newest = revision(one)
    three.platform.set_faults(down=True)
    one.kill()
    three.daemons.remove(one)
    again = three.daemon('one')
    cluster.wait_until(again.ready, 'ready')
    cluster.wait_until(lambda: revision(again) >= newest, 'newest')


def test_cut_off_data_centre_serves_and_catches_up(three):
    """Cut off from the platform only, and a service that refuses then."""
    three.editor.set('services/strict', {'cut_off': 'refuse'})
    with contextlib.ExitStack() as stack:
        link = silent_link.SilentLink(three.platform.address)
        stack.callback(link.close)
        outer = three.daemon('outer', 'marmara-a')
        real, three.platform_url = three.platform_url, f'http://{link.address}'
        cut = cluster.Daemon(three, 'cut', 'ege-a', [])
        stack.callback(cut.close)
        three.platform_url = real
        three.daemons.append(cut)
        three.wait_ready()
        link.cut()
        key = three.key('counter')
        cluster.wait_until(
            lambda: cut.call('/s/look/x', b'', key).status == 200,
            'a change comes through the other data centre',
            5.0,
        )
        outer.freeze()
        cluster.wait_until(
            lambda: cut.dump()['platform_age_ms'] > 5000, 'all is cut off'
        )
        assert cut.call('/s/look/x', b'', three.token).status == 200
        refused = cut.call('/s/strict/x', b'', three.token)
        assert refused.json()['error']['kind'] == 'cut_off'
        late = three.key('counter')
        link.heal()
        outer.thaw()
        cluster.wait_until(
            lambda: cut.call('/s/look/x', b'', late).status == 200,
            'it has caught up',
        )


def test_change_during_a_silent_watch(three):
    three.daemon('one')
    three.wait_ready()
    three.platform.set_faults(silent_watches=True)
    node = three.editor.set('services/look', {'timeout_s': 4.0})
    three.platform.set_faults(silent_watches=False)
    cluster.wait_until(
        lambda: revision(three.daemons[0]) >= node.version, 'the change'
    )
