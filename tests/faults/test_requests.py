"""Answers and refusals under failing engines, keys, links and daemons."""

from concurrent import futures
import contextlib
import json

import pytest
import urllib3

from chestnutshunt_standins import cluster
from chestnutshunt_standins import engine
from chestnutshunt_standins import silent_link

MODEL = '/s/model/v1/generate'


@pytest.fixture
def model(tmp_path):
    with cluster.cluster(tmp_path) as made:
        made.engines = [
            made.target('engine', 'model', 'marmara-a', f'engine-{number}')
            for number in range(3)
        ]
        made.editor.set(
            'services/model',
            {
                'protocol': 'engine',
                'progress_timeout_s': 0.5,
                'timeout_s': 20.0,
                'retry_share': 1.0,
            },
        )
        made.token = made.workspace('counter')
        for name in ('one', 'two'):
            made.daemon(name)
        made.wait_ready()
        yield made


def body_of(prompt, count=40, seed=0):
    return json.dumps({'prompt': prompt, 'max_tokens': count, 'seed': seed})


def tokens_of(answer):
    lines = [json.loads(line) for line in answer.data.splitlines()]
    assert lines[-1].get('done'), 'the answer is not whole'
    return [line['token'] for line in lines[:-1]]


def expected(prompt, count=40, seed=0):
    return [
        engine.expected_token(prompt, seed, index) for index in range(count)
    ]


@pytest.mark.parametrize('fault', ['cut_after', 'stall_after'])
def test_stream_that_fails_is_resumed_elsewhere(model, fault):
    model.engines[0].set_faults(**{fault: 5})
    for number in range(12):
        prompt = f'coat {number}'
        answer = model.daemons[0].call(MODEL, body_of(prompt), model.token)
        assert answer.status == 200, answer.data
        assert tokens_of(answer) == expected(prompt)


def test_engine_killed_in_mid_stream(model):
    for item in model.engines:
        item.set_faults(token_time=0.02)
    with futures.ThreadPoolExecutor(12) as pool:
        sent = {
            f'p{number}': pool.submit(
                model.daemons[number % 2].call,
                MODEL,
                body_of(f'p{number}'),
                model.token,
            )
            for number in range(12)
        }
        cluster.wait_until(
            lambda: model.engines[0].log('generate'), 'the engine works'
        )
        model.engines[0].kill()
        for prompt, item in sent.items():
            assert tokens_of(item.result()) == expected(prompt)


def test_answer_that_cannot_be_finished_is_visibly_cut(model):
    for item in model.engines:
        item.set_faults(cut_after=3)
    with pytest.raises(urllib3.exceptions.HTTPError):
        model.daemons[0].call(MODEL, body_of('cut', 400), model.token)


def test_each_caller_gets_its_own_answer(model):
    with futures.ThreadPoolExecutor(32) as pool:
        sent = {
            (number, seed): pool.submit(
                model.daemons[number % 2].call,
                MODEL,
                body_of(f'own {number}', 20, seed),
                model.token,
            )
            for number in range(50)
            for seed in range(2)
        }
        for (number, seed), item in sent.items():
            assert tokens_of(item.result()) == expected(
                f'own {number}', 20, seed
            )


def open_stream(daemon, token, count, **headers):
    return cluster.HTTP.request(
        'POST',
        f'http://{daemon.caller}{MODEL}',
        body=body_of('long', count),
        headers={'Authorization': f'Bearer {token}', **headers},
        preload_content=False,
    )


def test_withdrawn_key_ends_an_open_stream(model):
    for item in model.engines:
        item.set_faults(token_time=0.02)
    key = model.key('counter')
    model.wait_config()
    streams = [open_stream(d, key, 100_000) for d in model.daemons]
    parts = [stream.stream() for stream in streams]
    assert all(next(part) for part in parts)
    path = f'workspaces/counter/keys/{key.rsplit(".", 2)[1]}'
    model.editor.set(path, {'withdrawn': True})
    for part in parts:
        with pytest.raises(urllib3.exceptions.HTTPError):
            for _ in part:
                pass


def test_withdrawn_key_ends_a_joined_stream(model):
    """The key of the caller that joined counts, not that of the first."""
    for item in model.engines:
        item.set_faults(token_time=0.02)
    key = model.key('counter')
    model.wait_config()
    identity = {'Idempotency-Key': 'shared'}
    first = open_stream(model.daemons[0], model.token, 400, **identity)
    first_parts = first.stream()
    first_part = next(first_parts)
    joined = open_stream(model.daemons[0], key, 400, **identity).stream()
    assert next(joined)
    path = f'workspaces/counter/keys/{key.rsplit(".", 2)[1]}'
    model.editor.set(path, {'withdrawn': True})
    with pytest.raises(urllib3.exceptions.HTTPError):
        for _ in joined:
            pass
    rest = first_part + b''.join(first_parts)
    assert b'"done": true' in rest
    assert sum(len(e.log('generate')) for e in model.engines) == 1


def test_withdrawn_key_on_a_kept_connection(model):
    key = model.key('counter')
    model.wait_config()
    host, _, port = model.daemons[0].caller.partition(':')
    connection = urllib3.connection.HTTPConnection(host, int(port))
    headers = {'Authorization': f'Bearer {key}'}

    def ask():
        connection.request('POST', MODEL, body_of('kept', 2), headers)
        answer = connection.getresponse()
        assert answer.data
        return answer.status

    assert ask() == 200
    sock = connection.sock
    path = f'workspaces/counter/keys/{key.rsplit(".", 2)[1]}'
    model.editor.set(path, {'withdrawn': True})
    model.wait_config()
    assert ask() == 401
    assert connection.sock is sock


def test_crashing_request_stops_after_two_targets(model):
    for item in model.engines:
        item.set_faults(crash_on='poison')
    one, two = model.daemons
    first = one.call(MODEL, body_of('poison'), model.token)
    assert first.status == 422
    assert first.json()['error']['ran'] == 'may have run'
    cluster.wait_until(lambda: two.dump()['quarantine'], 'the other hears')
    second = two.call(MODEL, body_of('poison'), model.token)
    assert second.json()['error']['kind'] == 'quarantined'
    assert sum(item.ended() for item in model.engines) == 2
    good = two.call(MODEL, body_of('good'), model.token)
    assert tokens_of(good) == expected('good')


def test_graceful_stop_cuts_off_no_request(model):
    for item in model.engines:
        item.set_faults(token_time=0.01)
    one, two = model.daemons
    with futures.ThreadPoolExecutor(8) as pool:
        sent = [
            pool.submit(one.call, MODEL, body_of(f's{n}', 300), model.token)
            for n in range(8)
        ]
        cluster.wait_until(lambda: one.dump()['in_flight'] == 8, 'busy')
        one.terminate()
        cluster.wait_until(lambda: one.dump()['draining'], 'draining')
        one.terminate()
        late = one.call(MODEL, body_of('late'), model.token)
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
            assert tokens_of(item.result()) == expected(f's{number}', 300)
    cluster.wait_until(one.ended, 'the daemon has ended')
    assert one.child.returncode == 0
    assert two.call(MODEL, body_of('on'), model.token).status == 200


def test_silent_connection_to_a_target_is_replaced(tmp_path):
    with cluster.cluster(tmp_path) as made, contextlib.ExitStack() as stack:
        plain = made.standin('plain', 'plain-1')
        link = silent_link.SilentLink(plain.address)
        stack.callback(link.close)
        value = {
            'service': 'look',
            'address': link.address,
            'datacentre': 'marmara-a',
        }
        made.client.put('target', 'plain-1', value, 0).unwrap()
        made.editor.set('services/look', {'progress_timeout_s': 0.5})
        token = made.workspace('counter')
        made.daemon('one')
        made.wait_ready()
        call = made.daemons[0].call
        assert call('/s/look/a', b'1', token).status == 200
        link.silence()
        answer = call('/s/look/a', b'2', token)
        assert answer.status == 200, answer.data
        assert answer.json()['echo'] == '2'


def test_silent_links_to_platform_and_peer(tmp_path):
    """Changes still arrive when all open connections have gone silent."""
    with cluster.cluster(tmp_path) as made, contextlib.ExitStack() as stack:
        link = silent_link.SilentLink(made.platform.address)
        stack.callback(link.close)
        made.platform_url = f'http://{link.address}'
        made.target('plain', 'look', 'marmara-a', 'plain-1')
        made.editor.set('services/look', {})
        made.workspace('counter')
        for name in ('one', 'two'):
            made.daemon(name)
        made.wait_ready()
        link.silence()
        key = made.key('counter')
        made.wait_config()
        for daemon in made.daemons:
            assert daemon.call('/s/look/a', b'', key).status == 200
