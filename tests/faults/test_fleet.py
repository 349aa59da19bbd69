"""Daemons that run as processes on the published platform, under faults."""

import base64
import contextlib
import json
import os
import threading

import pytest

from chestnutshunt.store import put_if_changed
from chestnutshunt_platform import store_client
from chestnutshunt_standins import cluster
from tests import fake_target

KEY = 'key-of-w'
HEADERS = {'Authorization': f'Bearer {KEY}', 'Host': 'h'}


def config(version=1, keys=(KEY,), routes=()):
    def route(name, kind, **fields):
        return {
            'name': name,
            'host': 'h',
            'pathPrefix': f'/{name}/',
            'kind': kind,
            'timeoutMs': 5000,
            'goalMs': 1000,
            'maxAttempts': 3,
            'service': name,
            **fields,
        }

    return {
        'version': version,
        'routes': [
            route('app', 'safe'),
            route('model', 'rollout', dueMs=5000, itemTtlS=60),
            route('text', 'stream', resumable=True),
            *(route(name, 'safe', service='app') for name in routes),
        ],
        'services': [
            {'name': 'app', 'healthPath': '/health', 'maxConns': 64},
            {'name': 'text', 'healthPath': '/health', 'maxConns': 64},
            {
                'name': 'model',
                'healthPath': '/health',
                'maxConns': 64,
                'engine': {'models': [{'name': 'm'}]},
            },
        ],
        'limits': {'idleTimeoutMs': 15000},
        'tenants': [{'name': 'w', 'apiKeys': list(keys)}],
    }


class FrontDaemon(cluster.Process):
    def __init__(self, fleet, name, **settings):
        self.name = name
        self.caller, self.ready_address, self.peer = (
            cluster.free_address() for _ in range(3)
        )
        values = {
            'name': name,
            'role': 'front',
            'datacentre': 'a',
            'caller_address': self.caller,
            'ready_address': self.ready_address,
            'peer_address': self.peer,
            'store_address': fleet.store.address,
            'duty_address': fleet.store.address,
            'lease_s': 1.0,
            'usage_window_s': 1.0,
            **settings,
        }
        self.values = values
        self.path = fleet.folder / f'{name}.toml'
        self.fleet = fleet
        self.restart(first_start=True)

    def restart(self, first_start=False):
        text = cluster.to_toml({**self.values, 'first_start': first_start})
        self.path.write_text(text + '[regions]\na = "r"\n')
        os.environ['CHESTNUTSHUNT_BOOT'] = str(self.path)
        super().__init__(
            ['chestnutshunt_platform.main'],
            self.fleet.folder / f'{self.name}.log',
        )

    def ready(self):
        with contextlib.suppress(Exception):
            url = f'http://{self.ready_address}/v1/ready'
            return cluster.HTTP.request('GET', url).status == 200
        return False

    def dump(self):
        url = f'http://{self.ready_address}/dump'
        return cluster.HTTP.request('GET', url).json()

    def call(self, method, path, body=None, request_id='q', **headers):
        sent = {**HEADERS, 'X-Request-Id': request_id}
        sent.update((k.replace('_', '-'), v) for k, v in headers.items())
        return cluster.HTTP.request(
            method,
            f'http://{self.caller}{path}',
            body=body,
            headers=sent,
            timeout=10.0,
        )

    def log_events(self, event):
        lines = self.log_path.read_text().splitlines()
        parsed = [json.loads(x) for x in lines if x.startswith('{')]
        return [x for x in parsed if x['event'] == event]


class Fleet:
    def __init__(self, folder, stack):
        self.folder = folder
        self.stack = stack
        self.store = cluster.Standin('platform', folder, 'store')
        self.client = store_client.StoreClient(self.store.address)
        stack.callback(self.store.close)
        self.put('config', 'main', config())
        self.daemons = []

    def put(self, kind, name, value):
        put_if_changed.put_if_changed(self.client, kind, name, value).unwrap()

    def target(self, name, service, *script, version=1, software='', slots=4):
        target = fake_target.FakeTarget(name, *script)
        self.stack.callback(target.close)
        target.entry = {
            'service': service,
            'address': target.address,
            'zone': 'a',
            'slots': slots,
            'state': 'ready',
            'models': [{'name': 'm', 'version': version}],
            'version': software,
        }
        self.put('servers', name, target.entry)
        return target

    def start(self, count, **settings):
        for number in range(count):
            daemon = FrontDaemon(self, f'd{number}', **settings)
            self.stack.callback(daemon.close)
            self.daemons.append(daemon)
        for daemon in self.daemons:
            cluster.wait_until(daemon.ready, f'{daemon.name} is ready')
            cluster.wait_until(
                lambda d=daemon: len(d.dump()['peers']) == count - 1,
                f'{daemon.name} hears its peers',
            )
        return self.daemons


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Fleet(tmp_path, stack)


def job_body(count=3):
    items = [
        {
            'id': f'i{n}',
            'path': '/model/x',
            'headers': {},
            'body': base64.b64encode(b'x').decode(),
            'tokens': 10,
            'group': 'g',
        }
        for n in range(count)
    ]
    value = {'step': 0, 'model': 'm', 'minVersion': 1, 'desired': 1}
    return json.dumps({**value, 'items': items})


def read(daemon, job, after=0):
    answer = daemon.call('GET', f'/v1/lots/{job}?after={after}')
    assert answer.status == 200, answer.data
    return answer.json()


def wait_listed(daemon, job, count):
    cluster.wait_until(
        lambda: len(read(daemon, job)['results']) == count,
        f'{count} results of {job} are listed at {daemon.name}',
    )
    return read(daemon, job)


def test_a_request_and_a_job_at_any_daemon(fleet):
    fleet.target('t1', 'app', fake_target.respond(200, b'hello'))
    fleet.target('t2', 'model', fake_target.events(1, 2, version=1))
    daemons = fleet.start(3)
    for daemon in daemons:
        answer = daemon.call('POST', '/app/x', b'body', f'q-{daemon.name}')
        assert (answer.status, answer.data) == (200, b'hello')
        assert answer.headers['X-Server-Stamp'] == 'sig'
    body = job_body()
    assert daemons[0].call('POST', '/model/', body, 'j1').status == 202
    assert daemons[1].call('POST', '/model/', body, 'j1').status == 202
    pages = [wait_listed(daemon, 'j1', 3) for daemon in daemons]
    assert pages[0] == pages[1] == pages[2]
    assert pages[0]['results'][0]['text'] == 'd1\nd2'
    for daemon in daemons:
        item = daemon.call('GET', '/v1/items/j1?id=i1')
        assert (item.status, item.data) == (200, b'x')
    assert daemons[2].call('DELETE', '/v1/lots/j1').status == 200
    assert daemons[0].call('DELETE', '/v1/lots/j1').status == 200
    assert daemons[0].call('GET', '/v1/lots/other').status == 404


def test_a_job_outlives_the_daemon_that_ran_it(fleet):
    release = threading.Event()

    def hold(connection, fields):
        release.wait(30)
        fake_target.events(1, version=1)(connection, fields)

    fleet.target('t1', 'model', hold)
    daemons = fleet.start(3)
    body = job_body()
    assert daemons[0].call('POST', '/model/', body, 'j1').status == 202
    runner = next(x for x in daemons if x.dump()['jobs'])
    runner.kill()
    release.set()
    others = [x for x in daemons if x is not runner]
    for daemon in others:
        assert len(wait_listed(daemon, 'j1', 3)['results']) == 3
    assert any(x.log_events('Job taken over') for x in others)


def test_all_daemons_killed_at_once_lose_no_job(fleet):
    fleet.target('t1', 'model', fake_target.events(1, version=1))
    daemons = fleet.start(2)
    body = job_body()
    assert daemons[0].call('POST', '/model/', body, 'j1').status == 202
    before = wait_listed(daemons[1], 'j1', 3)
    for daemon in daemons:
        daemon.kill()
    fleet.daemons = []
    daemons = fleet.start(2)
    assert wait_listed(daemons[0], 'j1', 3) == before


def test_a_withdrawn_key_stops_working_and_a_new_route_works(fleet):
    fleet.target('t1', 'app', fake_target.respond())
    daemons = fleet.start(2)
    assert daemons[1].call('POST', '/app/x').status == 200
    fleet.put('config', 'main', config(2, keys=('other',), routes=('new',)))
    for daemon in daemons:
        cluster.wait_until(
            lambda d=daemon: d.call('POST', '/app/x').status == 401,
            f'{daemon.name} refuses the key',
        )
        answer = daemon.call('POST', '/new/x', Authorization='Bearer other')
        assert answer.status == 200


def test_keys_are_refused_when_nobody_confirms_them(fleet):
    target = fleet.target('t1', 'app', fake_target.respond())
    (daemon,) = fleet.start(1)
    assert daemon.call('POST', '/app/x').status == 200
    fleet.store.set_faults(down=True)
    cluster.wait_until(
        lambda: daemon.call('POST', '/app/x').status == 503,
        'the key is refused',
    )
    sent = len(target.heads)
    assert daemon.call('POST', '/app/x').status == 503
    assert len(target.heads) == sent
    assert not daemon.ready()
    fleet.store.set_faults(down=False)
    cluster.wait_until(daemon.ready, 'the daemon is ready again')
    assert daemon.call('POST', '/app/x').status == 200
    assert daemon.log_events('Store lost')
    assert daemon.log_events('Store regained')


def test_a_refused_job_does_not_show_where_the_store_is(fleet):
    fleet.target('t1', 'model', fake_target.events(1, version=1))
    (daemon,) = fleet.start(1)
    fleet.store.set_faults(down=True)
    answer = daemon.call('POST', '/model/', job_body(), 'j1')
    assert answer.status == 503
    assert 'Retry-After' in answer.headers
    assert fleet.store.address.encode() not in answer.data
    cluster.wait_until(
        lambda: daemon.log_events('A store call for a job failed'),
        'the daemon logs the failed call',
    )


def test_lost_replies_of_the_store_accept_a_job_once(fleet):
    target = fleet.target('t1', 'model', fake_target.events(1, version=1))
    (daemon,) = fleet.start(1)
    fleet.store.set_faults(lose_replies=1)
    status = daemon.call('POST', '/model/', job_body(), 'j1').status
    while status != 202:
        assert status in (502, 503, 504)
        status = daemon.call('POST', '/model/', job_body(), 'j1').status
    assert len(wait_listed(daemon, 'j1', 3)['results']) == 3
    assert len(target.heads) == 3


def test_a_leaving_target_gets_nothing_new(fleet):
    one = fleet.target('t1', 'app', fake_target.respond())
    two = fleet.target('t2', 'app', fake_target.respond())
    (daemon,) = fleet.start(1)
    fleet.put('servers', 't1', {**one.entry, 'state': 'draining'})
    cluster.wait_until(
        lambda: [x for x in daemon.dump()['targets'] if x['leaving']],
        'the daemon lists the target as leaving',
    )
    before = len(one.heads)
    for number in range(10):
        assert daemon.call('POST', '/app/x', b'', f'q{number}').status == 200
    assert (len(one.heads), len(two.heads) >= 10) == (before, True)


def test_a_stopping_daemon_finishes_what_it_has(fleet):
    release = threading.Event()

    def hold(connection, fields):
        release.wait(30)
        fake_target.respond(200, b'late')(connection, fields)

    target = fleet.target('t1', 'app', hold)
    (daemon,) = fleet.start(1)
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(daemon.call('POST', '/app/x'))
    )
    caller.start()
    cluster.wait_until(lambda: target.heads, 'the target has the request')
    daemon.terminate()
    cluster.wait_until(lambda: not daemon.ready(), 'the daemon is not ready')
    release.set()
    caller.join(20)
    assert answers[0].status == 200
    assert answers[0].headers['Connection'] == 'close'
    cluster.wait_until(daemon.ended, 'the daemon has ended')


def test_one_holder_reports_each_window_once(fleet):
    fleet.target('t1', 'app', fake_target.respond())
    daemons = fleet.start(3)
    for number in range(6):
        daemon = daemons[number % 3]
        assert daemon.call('POST', '/app/x', b'', f'q{number}').status == 200

    def counted():
        calls = fleet.store.log('usage')
        return sum(x['report']['counts'].get('w', 0) for x in calls) >= 6

    cluster.wait_until(counted, 'all six requests are reported')
    calls = fleet.store.log('usage')
    assert len({x['holder'] for x in calls}) == 1
    windows = {}
    for call in calls:
        value = call['report']
        counts = windows.setdefault(value['window'], value['counts'])
        assert counts == value['counts']
    assert sum(x.get('w', 0) for x in windows.values()) == 6
