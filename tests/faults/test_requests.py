"""Answers and refusals when engines, keys, links or daemons fail."""

from concurrent import futures
import contextlib
import json

import pytest
import urllib3

from chestnutshunt_standins import cluster
from chestnutshunt_standins import engine
from chestnutshunt_standins import silent_link

MODEL_PATH = '/s/model/v1/generate'


@pytest.fixture
def deployment(tmp_path):
    with cluster.cluster(tmp_path) as started:
        started.engines = [
            started.target('engine', 'model', 'marmara-a', f'engine-{number}')
            for number in range(3)
        ]
        started.editor.set(
            'services/model',
            {
                'protocol': 'engine',
                'progress_timeout_s': 0.5,
                'timeout_s': 20.0,
                'retry_share': 1.0,
            },
        )
        started.token = started.workspace('counter')
        for name in ('one', 'two'):
            started.daemon(name)
        started.wait_ready()
        yield started


def request_body(prompt, count=40, seed=0):
    return json.dumps({'prompt': prompt, 'max_tokens': count, 'seed': seed})


def answer_tokens(answer):
    lines = [json.loads(line) for line in answer.data.splitlines()]
    assert lines[-1].get('done'), 'the answer is incomplete'
    return [line['token'] for line in lines[:-1]]


def expected_tokens(prompt, count=40, seed=0):
    return [
        engine.expected_token(prompt, seed, index) for index in range(count)
    ]


@pytest.mark.parametrize('fault', ['cut_after', 'stall_after'])
def test_stream_that_fails_is_resumed_elsewhere(deployment, fault):
    deployment.engines[0].set_faults(**{fault: 5})
    for number in range(12):
        prompt = f'coat {number}'
        answer = deployment.daemons[0].call(
            MODEL_PATH, request_body(prompt), deployment.token
        )
        assert answer.status == 200, answer.data
        assert answer_tokens(answer) == expected_tokens(prompt)


def test_engine_killed_in_mid_stream(deployment):
    for item in deployment.engines:
        item.set_faults(token_time=0.02)
    with futures.ThreadPoolExecutor(12) as pool:
        sent = {
            f'p{number}': pool.submit(
                deployment.daemons[number % 2].call,
                MODEL_PATH,
                request_body(f'p{number}'),
                deployment.token,
            )
            for number in range(12)
        }
        cluster.wait_until(
            lambda: deployment.engines[0].log('generate'), 'the engine works'
        )
        deployment.engines[0].kill()
        for prompt, item in sent.items():
            assert answer_tokens(item.result()) == expected_tokens(prompt)


def test_answer_that_cannot_be_finished_is_visibly_cut(deployment):
    for item in deployment.engines:
        item.set_faults(cut_after=3)
    with pytest.raises(urllib3.exceptions.HTTPError):
        deployment.daemons[0].call(
            MODEL_PATH, request_body('cut', 400), deployment.token
        )


def test_each_caller_gets_its_own_answer(deployment):
    with futures.ThreadPoolExecutor(32) as pool:
        sent = {
            (number, seed): pool.submit(
                deployment.daemons[number % 2].call,
                MODEL_PATH,
                request_body(f'own {number}', 20, seed),
                deployment.token,
            )
            for number in range(50)
            for seed in range(2)
        }
        for (number, seed), item in sent.items():
            assert answer_tokens(item.result()) == expected_tokens(
                f'own {number}', 20, seed
            )


def open_stream(daemon, token, count, **headers):
    return cluster.HTTP.request(
        'POST',
        f'http://{daemon.caller}{MODEL_PATH}',
        body=request_body('long', count),
        headers={'Authorization': f'Bearer {token}', **headers},
        preload_content=False,
    )


def test_withdrawn_key_ends_an_open_stream(deployment):
    for item in deployment.engines:
        item.set_faults(token_time=0.02)
    key = deployment.key('counter')
    deployment.wait_config()
    streams = [open_stream(d, key, 100_000) for d in deployment.daemons]
    parts = [stream.stream() for stream in streams]
    assert all(next(part) for part in parts)
    path = f'workspaces/counter/keys/{key.rsplit(".", 2)[1]}'
    deployment.editor.set(path, {'withdrawn': True})
    for part in parts:
        with pytest.raises(urllib3.exceptions.HTTPError):
            for _ in part:
                pass


def test_withdrawn_key_ends_a_joined_stream(deployment):
    """The joined stream depends on its own key, not on the first one's."""
    for item in deployment.engines:
        item.set_faults(token_time=0.02)
    key = deployment.key('counter')
    deployment.wait_config()
    identity = {'Idempotency-Key': 'shared'}
    first = open_stream(
        deployment.daemons[0], deployment.token, 400, **identity
    )
    first_parts = first.stream()
    first_part = next(first_parts)
    joined = open_stream(deployment.daemons[0], key, 400, **identity).stream()
    assert next(joined)
    path = f'workspaces/counter/keys/{key.rsplit(".", 2)[1]}'
    deployment.editor.set(path, {'withdrawn': True})
    with pytest.raises(urllib3.exceptions.HTTPError):
        for _ in joined:
            pass
    rest = first_part + b''.join(first_parts)
    assert b'"done": true' in rest
    assert sum(len(e.log('generate')) for e in deployment.engines) == 1


def test_withdrawn_key_on_a_kept_connection(deployment):
    key = deployment.key('counter')
    deployment.wait_config()
    host, _, port = deployment.daemons[0].caller.partition(':')
    connection = urllib3.connection.HTTPConnection(host, int(port))
    headers = {'Authorization': f'Bearer {key}'}

    def send_request():
        connection.request(
            'POST', MODEL_PATH, request_body('kept', 2), headers
        )
        answer = connection.getresponse()
        assert answer.data
        return answer.status

    assert send_request() == 200
    sock = connection.sock
    path = f'workspaces/counter/keys/{key.rsplit(".", 2)[1]}'
    deployment.editor.set(path, {'withdrawn': True})
    deployment.wait_config()
    assert send_request() == 401
    assert connection.sock is sock


def test_crashing_request_stops_after_two_targets(deployment):
    for item in deployment.engines:
        item.set_faults(crash_on='poison')
    one, two = deployment.daemons
    first = one.call(MODEL_PATH, request_body('poison'), deployment.token)
    assert first.status == 422
    assert first.json()['error']['ran'] == 'may have run'
    cluster.wait_until(
        lambda: two.dump()['quarantine'],
        'the other daemon knows the quarantine',
    )
    second = two.call(MODEL_PATH, request_body('poison'), deployment.token)
    assert second.json()['error']['kind'] == 'quarantined'
    assert sum(item.ended() for item in deployment.engines) == 2
    good = two.call(MODEL_PATH, request_body('good'), deployment.token)
    assert answer_tokens(good) == expected_tokens('good')


def test_graceful_stop_cuts_off_no_request(deployment):
    for item in deployment.engines:
        item.set_faults(token_time=0.01)
    one, two = deployment.daemons
    with futures.ThreadPoolExecutor(8) as pool:
        sent = [
            pool.submit(
                one.call,
                MODEL_PATH,
                request_body(f's{n}', 300),
                deployment.token,
            )
            for n in range(8)
        ]
        cluster.wait_until(
            lambda: one.dump()['in_flight'] == 8, 'all are in flight'
        )
        one.terminate()
        cluster.wait_until(lambda: one.dump()['draining'], 'the daemon drains')
        one.terminate()
        late = one.call(MODEL_PATH, request_body('late'), deployment.token)
        assert late.status == 503
        assert late.json()['error'] | {'request': ''} == {
            'kind': 'draining',
            'message': 'This daemon is shutting down.',
            'remedy': 'Send the request again; '
            'the balancer has other daemons.',
            'ran': 'not run',
            'request': '',
        }
        for number, item in enumerate(sent):
            assert answer_tokens(item.result()) == expected_tokens(
                f's{number}', 300
            )
    cluster.wait_until(one.ended, 'the daemon has ended')
    assert one.child.returncode == 0
    assert (
        two.call(MODEL_PATH, request_body('on'), deployment.token).status
        == 200
    )


def test_silent_connection_to_a_target_is_replaced(tmp_path):
    with (
        cluster.cluster(tmp_path) as deployment,
        contextlib.ExitStack() as stack,
    ):
        plain = deployment.standin('plain', 'plain-1')
        link = silent_link.SilentLink(plain.address)
        stack.callback(link.close)
        value = {
            'service': 'look',
            'address': link.address,
            'datacentre': 'marmara-a',
        }
        deployment.client.put('target', 'plain-1', value, 0).unwrap()
        deployment.editor.set('services/look', {'progress_timeout_s': 0.5})
        token = deployment.workspace('counter')
        deployment.daemon('one')
        deployment.wait_ready()
        call = deployment.daemons[0].call
        assert call('/s/look/a', b'1', token).status == 200
        link.silence()
        answer = call('/s/look/a', b'2', token)
        assert answer.status == 200, answer.data
        assert answer.json()['echo'] == '2'


def test_silent_links_to_platform_and_peer(tmp_path):
    """Changes still arrive after all open connections stop passing data."""
    with (
        cluster.cluster(tmp_path) as deployment,
        contextlib.ExitStack() as stack,
    ):
        link = silent_link.SilentLink(deployment.platform.address)
        stack.callback(link.close)
        deployment.platform_url = f'http://{link.address}'
        deployment.target('plain', 'look', 'marmara-a', 'plain-1')
        deployment.editor.set('services/look', {})
        deployment.workspace('counter')
        for name in ('one', 'two'):
            deployment.daemon(name)
        deployment.wait_ready()
        link.silence()
        key = deployment.key('counter')
        deployment.wait_config()
        for daemon in deployment.daemons:
            assert daemon.call('/s/look/a', b'', key).status == 200
