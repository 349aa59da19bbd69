"""Two data centres of four daemons, not all of them linked."""

import pytest

from chestnutshunt_standins import cluster

NAMES = [
    f'{datacentre}-{n}' for n in range(4) for datacentre in ('near', 'far')
]


@pytest.fixture
def deployment(tmp_path):
    with cluster.cluster(tmp_path) as started:
        started.target('engine', 'model', 'near', 'engine-1')
        started.target('plain', 'look', 'near', 'plain-1')
        started.editor.set('services/model', {'protocol': 'engine'})
        started.editor.set('services/look', {})
        started.editor.set('reports/usage', {'window_s': 1.0, 'grace_s': 0.5})
        started.token = started.workspace('counter')
        started.editor.set(
            'runs/coats', {'service': 'model', 'workspace': 'counter'}
        )
        for name in NAMES:
            started.daemon(name, name.split('-')[0])
        for daemon in started.daemons:
            cluster.wait_until(daemon.ready, f'{daemon.name} is ready')
        started.wait_config()
        for daemon in started.daemons:
            cluster.wait_until(
                lambda d=daemon: len(d.live_peers()) >= 3, 'peers are heard'
            )
        cluster.wait_until(
            lambda: sum(len(d.live_peers()) < 7 for d in started.daemons) >= 4,
            'daemons no longer call the seeds',
        )
        yield started


def test_every_daemon_finds_the_coordinator(deployment):
    answers = set()
    for daemon in deployment.daemons:
        path = '/v1/runs/coats/steps/1?version=1'
        answer = daemon.call(path, key=deployment.token, method='GET')
        assert answer.status == 200, (daemon.name, answer.data)
        answers.add(answer.data)
    assert len(answers) == 1


def test_usage_of_every_daemon_is_reported(deployment):
    for daemon in deployment.daemons * 5:
        assert daemon.call('/s/look/x', b'', deployment.token).status == 200

    def reported_requests():
        reports = {
            e['report']['window']: e['report']
            for e in deployment.platform.log('usage')
        }
        return sum(
            requests
            for report in reports.values()
            for requests in report['counts'].values()
        )

    cluster.wait_until(
        lambda: reported_requests() >= 40, 'all requests are reported'
    )
    assert reported_requests() == 40
