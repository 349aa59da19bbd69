import pytest

from chestnutshunt_standins import cluster


@pytest.fixture(scope='module')
def parts(tmp_path_factory):
    with cluster.cluster(tmp_path_factory.mktemp('faults')) as made:
        made.plain = made.target('plain', 'orders', 'marmara-a', 'plain-1')
        made.editor.set(
            'services/orders',
            {'once_calls': ['POST /orders*'], 'timeout_s': 20.0},
        )
        made.token = made.workspace('counter')
        yield made


@pytest.fixture
def pair(parts):
    """Two fresh daemons, so that each case may end or freeze them."""
    for old in parts.daemons:
        old.close()
    parts.daemons.clear()
    for name in ('one', 'two'):
        parts.daemon(name)
    parts.wait_ready()
    yield parts
    parts.platform.set_faults(down=False, delay=0, lose_replies=0)
    parts.plain.set_faults(hold=False, delay=0, cut=False)
