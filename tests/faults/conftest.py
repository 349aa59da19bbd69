import pytest

from chestnutshunt_standins import cluster


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    with cluster.cluster(tmp_path_factory.mktemp('faults')) as started:
        started.plain = started.target(
            'plain', 'orders', 'marmara-a', 'plain-1'
        )
        started.editor.set(
            'services/orders',
            {'once_calls': ['POST /orders*'], 'timeout_s': 20.0},
        )
        started.token = started.workspace('counter')
        yield started


@pytest.fixture
def fresh_deployment(deployment):
    """Replace the daemons by two new ones, which a test may end or freeze."""
    for daemon in deployment.daemons:
        daemon.close()
    deployment.daemons.clear()
    for name in ('one', 'two'):
        deployment.daemon(name)
    deployment.wait_ready()
    yield deployment
    deployment.platform.set_faults(down=False, delay=0, lose_replies=0)
    deployment.plain.set_faults(hold=False, delay=0, cut=False)
