import json

import pytest

from chestnutshunt_standins import cluster
from chestnutshunt_standins import engine


@pytest.fixture(scope='module')
def parts(tmp_path_factory):
    with cluster.cluster(tmp_path_factory.mktemp('path')) as system:
        system.engine = system.target(
            'engine', 'model', 'marmara-a', 'engine-1'
        )
        system.plain = system.target('plain', 'orders', 'marmara-a', 'plain-1')
        system.editor.set('services/model', {'protocol': 'engine'})
        system.editor.set('services/orders', {'once_calls': ['POST /orders*']})
        system.token = system.workspace('counter')
        system.daemon('d1')
        system.daemon('d2', 'ege-a')
        system.wait_ready()
        yield system


def test_engine_answer_is_whole_and_names_versions(parts):
    body = json.dumps({'prompt': 'coat', 'max_tokens': 8})
    answer = parts.daemons[0].call('/s/model/v1/generate', body, parts.token)
    assert answer.status == 200, answer.data
    lines = [json.loads(line) for line in answer.data.splitlines()]
    expected = [engine.expected_token('coat', 0, i) for i in range(8)]
    assert [line['token'] for line in lines[:-1]] == expected
    assert {line['version'] for line in lines[:-1]} == {1}
    assert lines[-1] == {'done': True, 'tokens': 8}


def test_target_sees_no_credential(parts):
    headers = {'X-Api-Key': 'other', 'X-Copy': parts.token, 'X-Plain': 'yes'}
    parts.daemons[1].call('/s/orders/look', b'x', parts.token, headers)
    run = parts.plain.log('run')[-1]
    assert run['headers'].get('x-plain') == 'yes'
    assert parts.token not in json.dumps(run)
    assert 'other' not in json.dumps(run)


def test_same_identity_runs_once_at_two_daemons(parts):
    headers = {'Idempotency-Key': 'order-1'}
    answers = [
        daemon.call('/s/orders/orders', b'fabric', parts.token, headers)
        for daemon in [*parts.daemons, *parts.daemons]
    ]
    assert [answer.status for answer in answers] == [200] * 4, answers[1].data
    assert len({answer.data for answer in answers}) == 1
    runs = [run for run in parts.plain.log('run') if run['body'] == 'fabric']
    assert len(runs) == 1


def test_identity_of_another_request_is_refused(parts):
    headers = {'Idempotency-Key': 'order-2'}
    first, second = parts.daemons
    assert first.call('/s/orders/orders', b'a', parts.token, headers).status
    other = second.call('/s/orders/orders', b'b', parts.token, headers)
    assert other.status == 400
    assert other.json()['error']['ran'] == 'not run'


@pytest.mark.parametrize(
    ('path', 'key', 'body', 'status', 'kind'),
    [
        ('/s/none/x', None, b'', 404, 'route_unknown'),
        ('/elsewhere', None, b'', 404, 'route_unknown'),
        ('/s/model/v1', '', b'', 401, 'unauthorized'),
        ('/s/model/v1', 'counter.x.y', b'', 401, 'unauthorized'),
        ('/s/model/v1', 'nonsense', b'', 401, 'unauthorized'),
        ('/s/model/v1', None, b'{', 400, 'bad_request'),
        ('/s/model/v1', None, b'{"prompt": 1}', 400, 'bad_request'),
        ('/s/model/v1', None, b'x' * 1_100_000, 413, 'bad_request'),
    ],
)
def test_bad_requests_get_typed_errors(parts, path, key, body, status, kind):
    token = parts.token if key is None else key
    answer = parts.daemons[0].call(path, body, token)
    error = answer.json()['error']
    assert (answer.status, error['kind']) == (status, kind)
    assert error['ran'] == 'not run'
    assert error['remedy']


def test_withdrawn_key_stops_everywhere(parts):
    token = parts.key('counter')
    parts.wait_config()
    for daemon in parts.daemons:
        assert daemon.call('/s/orders/look', b'', token).status == 200
    _, key_id, _ = token.rsplit('.', 2)
    path = f'workspaces/counter/keys/{key_id}'
    parts.editor.set(path, {'withdrawn': True})
    parts.wait_config()
    for daemon in parts.daemons:
        assert daemon.call('/s/orders/look', b'', token).status == 401


def test_no_secret_in_dump_metrics_or_logs(parts):
    secret = parts.token.rsplit('.', 1)[1]
    for daemon in parts.daemons:
        assert secret not in daemon.get('/dump').data.decode()
        assert secret not in daemon.get('/metrics').data.decode()
        assert secret not in daemon.log_path.read_text()
