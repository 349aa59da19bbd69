"""Two data centres of four daemons, of which only some are linked."""

import pytest

from chestnutshunt_standins import cluster

NAMES = [f'{place}-{n}' for n in range(4) for place in ('near', 'far')]


@pytest.fixture
def wide(tmp_path):
    with cluster.cluster(tmp_path) as made:
        made.target('engine', 'model', 'near', 'engine-1')
        made.target('plain', 'look', 'near', 'plain-1')
        made.editor.set('services/model', {'protocol': 'engine'})
        made.editor.set('services/look', {})
        made.editor.set('reports/usage', {'window_s': 1.0, 'grace_s': 0.5})
        made.token = made.workspace('counter')
        made.editor.set(
            'runs/coats', {'service': 'model', 'workspace': 'counter'}
        )
        for name in NAMES:
            made.daemon(name, name.split('-')[0])
        for daemon in made.daemons:
            cluster.wait_until(daemon.ready, 'ready')
        made.wait_config()
        for daemon in made.daemons:
            cluster.wait_until(
                lambda d=daemon: len(d.live_peers()) >= 3, 'peers are heard'
            )
        cluster.wait_until(
            lambda: sum(len(d.live_peers()) < 7 for d in made.daemons) >= 4,
            'the seeds are no longer called',
        )
        yield made


def test_every_daemon_finds_the_coordinator(wide):
    answers = set()
    for daemon in wide.daemons:
        path = '/v1/runs/coats/steps/1?version=1'
        answer = daemon.call(path, key=wide.token, method='GET')
        assert answer.status == 200, (daemon.name, answer.data)
        answers.add(answer.data)
    assert len(answers) == 1


def test_usage_of_every_daemon_is_reported(wide):
    for daemon in wide.daemons * 5:
        assert daemon.call('/s/look/x', b'', wide.token).status == 200

    def total():
        reports = {
            e['report']['window']: e['report']
            for e in wide.platform.log('usage')
        }
        return sum(
            requests
            for report in reports.values()
            for requests in report['counts'].values()
        )

    cluster.wait_until(lambda: total() >= 40, 'all are reported')
    assert total() == 40
