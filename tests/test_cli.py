import json
import subprocess
import sys

import pytest

from chestnutshunt.membership import ended_vm
from chestnutshunt_standins import cluster


@pytest.fixture(scope='module')
def cli_cluster(tmp_path_factory):
    with cluster.cluster(tmp_path_factory.mktemp('cli')) as small_cluster:
        small_cluster.target('plain', 'orders', 'marmara-a', 'plain-1')
        small_cluster.editor.set('services/orders', {'timeout_s': 7.0})
        small_cluster.editor.set('workspaces/counter', {})
        small_cluster.daemon('one')
        small_cluster.wait_ready()
        yield small_cluster


def run_cli(cli_cluster, *arguments):
    process = subprocess.run(
        [sys.executable, '-m', 'chestnutshunt_cli.main', *arguments],
        capture_output=True,
        text=True,
        env={
            'CHESTNUTSHUNT_PLATFORM': cli_cluster.platform_url,
            'NO_COLOR': '1',
            'COLUMNS': '79',
        },
        timeout=60,
    )
    return process.returncode, process.stdout, process.stderr


def test_show_names_the_origin(cli_cluster):
    code, out, _ = run_cli(cli_cluster, 'show', 'services/orders', '--json')
    shown = json.loads(out)
    assert code == 0
    assert shown['timeout_s'] == {'value': 7.0, 'path': 'services/orders'}
    assert shown['max_attempts']['path'] == '(default)'


def test_show_lists_units(cli_cluster, snapshot):
    _, out, _ = run_cli(cli_cluster, 'show', 'services/orders')
    assert out == snapshot


@pytest.mark.parametrize(
    ('arguments', 'code', 'message'),
    [
        (('set', 'services/orders', 'timeout_s=0'), 2, 'out of bounds'),
        (('set', 'services/orders', 'timout_s=1'), 2, "'timeout_s'"),
        (('set', 'services/orders', 'timeout_s="x"'), 2, 'wrong type'),
        (('set', 'elsewhere/x', 'a=1'), 2, 'no such place'),
        (('set', 'runs/r', 'service="none"'), 2, 'no such node'),
        (('unset', 'services/none', 'a'), 2, 'has no'),
        (('key', 'create', 'none'), 2, 'no workspace'),
        (('key', 'withdraw', 'counter', 'none'), 2, 'no key'),
        (('status', 'weather'), 2, 'daemons, targets'),
        (('dump', '127.0.0.1:1'), 4, 'does not answer'),
    ],
)
def test_refusals_name_the_remedy(cli_cluster, arguments, code, message):
    result = run_cli(cli_cluster, *arguments)
    assert result[0] == code
    assert message in result[2]


def test_unreachable_platform_has_its_exit_code(cli_cluster):
    code, _, error = run_cli(
        cli_cluster, 'list', '--platform', 'http://127.0.0.1:1'
    )
    assert code == 4
    assert 'Check the platform address' in error


def test_apply_and_diff(cli_cluster, tmp_path):
    file = tmp_path / 'tree.toml'
    file.write_text(
        '["services/model"]\nprotocol = "engine"\n'
        '["runs/coats"]\nservice = "model"\nworkspace = "counter"\n'
    )
    assert run_cli(cli_cluster, 'diff', str(file))[0] == 5
    code, out, error = run_cli(cli_cluster, 'apply', str(file))
    assert (code, error) == (0, '')
    assert '3 settings changed' in out
    assert run_cli(cli_cluster, 'diff', str(file))[0] == 0


def test_key_works_and_stops(cli_cluster):
    _, token, _ = run_cli(cli_cluster, 'key', 'create', 'counter')
    token = token.strip()
    cli_cluster.wait_config()
    url = f'http://{cli_cluster.daemons[0].caller}/s/orders/look'
    assert (
        run_cli(cli_cluster, 'send', url, '--key', token, '--body', 'x')[0]
        == 0
    )
    key_id = token.split('.')[1]
    assert run_cli(cli_cluster, 'key', 'withdraw', 'counter', key_id)[0] == 0
    cli_cluster.wait_config()
    code, out, _ = run_cli(cli_cluster, 'send', url, '--key', token)
    assert code == 2
    assert json.loads(out)['error']['kind'] == 'unauthorized'


def test_status_and_load(cli_cluster):
    _, out, _ = run_cli(cli_cluster, 'status', 'daemons', '--json')
    assert json.loads(out)['one']['state'] == 'running'
    assert 'plain-1' in run_cli(cli_cluster, 'status', 'targets')[1]
    _, token, _ = run_cli(cli_cluster, 'key', 'create', 'counter')
    cli_cluster.wait_config()
    url = f'http://{cli_cluster.daemons[0].caller}/s/orders/look'
    code, out, _ = run_cli(
        cli_cluster,
        'load',
        url,
        '--key',
        token.strip(),
        '--requests',
        '50',
        '--json',
    )
    assert code == 0
    assert json.loads(out)['outcome 200'] == 50


def test_a_vm_is_marked_as_gone_once(cli_cluster):
    for _ in range(2):
        code, out, _ = run_cli(cli_cluster, 'gone', 'lost')
        assert (code, out) == (0, 'lost is marked as gone\n')
    assert ended_vm.list_ended(cli_cluster.client).unwrap() == {'lost'}
