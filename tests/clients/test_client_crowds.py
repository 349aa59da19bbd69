"""Daemons whose clients send, stop and read as they like.

The settings are lowered so that a few dozen clients show what hundreds do to
a VM. The crowd and the bounds stay as they are.
"""

import base64
import contextlib
import json
import time

import pytest
import urllib3

from chestnutshunt_standins import cluster
from tests.clients import crowd
from tests.clients import process_usage
from tests import fake_target
from tests.faults import test_fleet

fleet = test_fleet.fleet

# Settings of the daemon, and with them the bounds.
MEMORY_MB = 100
THREADS = 4
DESCRIPTORS = 400

CROWD = 40
# Connections that say nothing cost the least, so that more of them come.
SILENT_CROWD = 600

# Of a length that the operator's limit allows.
BODY_BYTES = 4_000_000
CHUNK_BYTES = 24_000_000
ENDLESS_BYTES = 24_000_000
ANSWER_BYTES = 15_000_000
ANSWER = b'a' * ANSWER_BYTES
SHORTER_ANSWER = b'a' * 4_000_000
ITEM_COUNT = 5
TEXT = 'd' * 120_000

# Connections of ordinary callers and of the dump.
LEFT_COUNT = 8

# Time that an ordinary caller has with its retries; bounds a failing run.
PATIENCE_S = 30.0
CALL_S = 10.0

LIMITS = {
    'maxHeaderBytes': 65_536,
    'maxBodyBytes': 33_554_432,
    'headerTimeoutMs': 120_000,
    'idleTimeoutMs': 120_000,
}

HEAD = (
    'POST /app/x HTTP/1.1\r\nHost: h\r\n'
    f'Authorization: Bearer {test_fleet.KEY}\r\nX-Request-Id: c\r\n'
).encode()
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


def length_head(length):
    return HEAD + b'Content-Length: %d\r\n\r\n' % length


def get(path):
    """Return a request without a body."""
    return HEAD.replace(b'POST /app/x', b'GET ' + path) + b'\r\n'


def say_nothing(client):
    pass


def stop_in_a_head(client):
    client.send(HEAD + b'X-Fill: ' + b'x' * 40_000)


def drip_in_a_head(client):
    client.send(HEAD + b'X-Fill: ')
    client.drip()


def drip_in_a_body(client):
    client.send(length_head(BODY_BYTES))
    client.drip()


def drip_in_a_small_body(client):
    client.send(length_head(1000))
    client.drip()


def drip_in_a_chunk(client):
    client.send(CHUNKED_HEAD + b'%x\r\n' % BODY_BYTES)
    client.drip()


def body_short_by_a_byte(client):
    client.send(length_head(BODY_BYTES))
    client.send_parts(BODY_BYTES - 1)


def pieces_short_by_the_end(client):
    client.send(CHUNKED_HEAD)
    for _ in range(BODY_BYTES // len(crowd.PART)):
        client.send(crowd.CHUNK)


def one_chunk_without_its_end(client):
    client.send(CHUNKED_HEAD + b'%x\r\n' % CHUNK_BYTES)
    client.send_parts(CHUNK_BYTES)


def size_line_without_end(client):
    client.send(CHUNKED_HEAD + b'5;')
    client.send_parts(ENDLESS_BYTES)


def trailer_line_without_end(client):
    client.send(CHUNKED_HEAD + b'5\r\n01234\r\n0\r\nX-T: ')
    client.send_parts(ENDLESS_BYTES)


def trailer_lines_without_end(client):
    client.send(CHUNKED_HEAD + b'5\r\n01234\r\n0\r\n')
    lines = b'X-T: %s\r\n' % (b'x' * 89) * 100
    for _ in range(100):
        client.send(lines)


def whole_bodies_again_and_again(client):
    for _ in range(5):
        with contextlib.suppress(OSError):
            client.send(length_head(BODY_BYTES))
            client.send_parts(BODY_BYTES)
            client.sock.settimeout(crowd.SETTLE_S)
            client.sock.recv(65_536)
        client.close()
        client.connect()


def whole_pieces_again_and_again(client):
    for _ in range(5):
        with contextlib.suppress(OSError):
            client.send(CHUNKED_HEAD)
            for _ in range(BODY_BYTES // len(crowd.PART)):
                client.send(crowd.CHUNK)
            client.send(b'0\r\n\r\n')
            client.sock.settimeout(crowd.SETTLE_S)
            client.sock.recv(65_536)
        client.close()
        client.connect()


def send_on_behind_a_request(client):
    client.send(get(b'/hold/x'))
    client.send_parts(ENDLESS_BYTES)


def read_answers_slowly(client):
    client.send(get(b'/long/x'))
    client.read_slowly()


def read_shorter_answers_slowly(client):
    client.send(get(b'/shorter/x'))
    client.read_slowly()


def read_events_slowly(client):
    client.send(get(b'/text/x'))
    client.read_slowly()


def read_results_slowly(client):
    client.send(get(b'/v1/lots/j1?after=0') * 20)
    client.read_slowly()


def read_items_slowly(client):
    client.send(get(b'/v1/items/j2?id=i0') * 20)
    client.read_slowly()


CROWDS = {
    'silent': (say_nothing, SILENT_CROWD),
    'head-stopped': (stop_in_a_head, CROWD),
    'head-dripped': (drip_in_a_head, CROWD),
    'body-dripped': (drip_in_a_body, CROWD),
    'small-body-dripped': (drip_in_a_small_body, CROWD),
    'chunk-dripped': (drip_in_a_chunk, CROWD),
    'body-short': (body_short_by_a_byte, CROWD),
    'pieces-short': (pieces_short_by_the_end, CROWD),
    'one-chunk': (one_chunk_without_its_end, CROWD),
    'size-line': (size_line_without_end, CROWD),
    'trailer-line': (trailer_line_without_end, CROWD),
    'trailer-lines': (trailer_lines_without_end, CROWD),
    'whole-bodies': (whole_bodies_again_and_again, CROWD),
    'whole-pieces': (whole_pieces_again_and_again, CROWD),
    'sent-on': (send_on_behind_a_request, CROWD),
    'answers-read-slowly': (read_answers_slowly, CROWD),
    'shorter-answers-read-slowly': (read_shorter_answers_slowly, CROWD),
    'events-read-slowly': (read_events_slowly, CROWD),
    'results-read-slowly': (read_results_slowly, CROWD),
    'items-read-slowly': (read_items_slowly, CROWD),
}


def stream_events(connection, fields):
    """Send events until the daemon has enough."""
    fake_target.events(1, complete=None)(connection, fields)
    for number in range(2, 2000):
        fake_target.send_event(connection, number, 'd' * 16_000)


def send_long_event(connection, fields):
    """Send one event of a text that makes long results."""
    fake_target.events(1, complete=True, version=1, label=TEXT)(
        connection, fields
    )


def hold(connection, fields):
    """Answer after a while; callers that leave are noticed before."""
    connection.settimeout(3)
    with contextlib.suppress(TimeoutError):
        connection.recv(1)
    fake_target.respond()(connection, fields)


def config():
    value = test_fleet.config(version=2)
    routes = {route['name']: route for route in value['routes']}
    for name in ('long', 'shorter', 'hold'):
        added = {**routes['app'], 'name': name, 'service': name}
        added |= {'pathPrefix': f'/{name}/', 'timeoutMs': 20_000}
        value['routes'].append(added)
        service = {'name': name, 'healthPath': '/health', 'maxConns': 64}
        value['services'].append(service)
    return {**value, 'limits': LIMITS}


def start(fleet, memory_mb):
    """Return a daemon with targets of each kind."""
    fleet.put('config', 'main', config())
    fleet.target('t-app', 'app', fake_target.respond(200, b'fine'))
    for name, service, step in (
        ('t-long', 'long', fake_target.respond(200, ANSWER)),
        ('t-shorter', 'shorter', fake_target.respond(200, SHORTER_ANSWER)),
        ('t-hold', 'hold', hold),
        ('t-text', 'text', stream_events),
    ):
        fleet.target(name, service, step, slots=2 * CROWD)
    fleet.target('t-model', 'model', send_long_event)
    with process_usage.descriptor_limit(DESCRIPTORS):
        return fleet.start(1, memory_mb=memory_mb, threads=THREADS)[0]


def call_patiently(daemon):
    """Send one ordinary request, with retries, until it is answered."""
    pool = urllib3.PoolManager(retries=False, maxsize=1)
    end_at = time.monotonic() + PATIENCE_S
    outcomes = []
    while time.monotonic() < end_at:
        try:
            answer = pool.request(
                'POST',
                f'http://{daemon.caller}/app/x',
                body=b'body',
                headers={**test_fleet.HEADERS, 'X-Request-Id': 'o'},
                timeout=urllib3.Timeout(connect=CALL_S, read=CALL_S),
            )
        except urllib3.exceptions.HTTPError as exc:
            outcomes.append(type(exc).__name__)
        else:
            if (answer.status, answer.data) == (200, b'fine'):
                return
            outcomes.append(answer.status)
        pool.clear()
        time.sleep(0.1)
    raise AssertionError(f'not answered: {outcomes[:5]}')


def submit_jobs(daemon):
    """Submit the jobs whose results and items the clients read."""
    results = json.loads(test_fleet.job_body(ITEM_COUNT))
    large = base64.b64encode(b'x' * 500_000).decode()
    items = {**results, 'items': [{**results['items'][0], 'body': large}]}
    for job, value in (('j1', results), ('j2', items)):
        body = json.dumps(value).encode()
        assert daemon.call('POST', '/model/', body, job).status == 202
    test_fleet.wait_listed(daemon, 'j1', ITEM_COUNT)


@pytest.mark.timeout(300)
@pytest.mark.parametrize('kind', CROWDS)
def test_a_crowd_is_borne(fleet, kind):
    act, count = CROWDS[kind]
    daemon = start(fleet, MEMORY_MB)
    if 'results' in kind or 'items' in kind:
        submit_jobs(daemon)
    bound_bytes = MEMORY_MB * 1_000_000
    port = int(daemon.caller.rpartition(':')[2])
    with process_usage.watch(daemon, port, bound_bytes) as peak:
        with crowd.crowd(daemon.caller, act, count):
            assert not daemon.ended()
            call_patiently(daemon)
        call_patiently(daemon)
        cluster.wait_until(
            lambda: daemon.dump()['clients']['connections'] <= LEFT_COUNT,
            'what the crowd held is given back',
        )
    print(kind, peak)
    assert not daemon.ended()
    assert peak.memory_bytes < bound_bytes
    assert peak.descriptors <= DESCRIPTORS


# Readiness, metrics and dumps have a listener of their own.
@pytest.mark.timeout(300)
@pytest.mark.parametrize(
    'kind', ['silent', 'head-stopped', 'body-short', 'one-chunk']
)
def test_the_ready_listener_bears_a_crowd(fleet, kind):
    act, _ = CROWDS[kind]
    daemon = start(fleet, MEMORY_MB)
    bound_bytes = MEMORY_MB * 1_000_000
    port = int(daemon.ready_address.rpartition(':')[2])
    with process_usage.watch(daemon, port, bound_bytes) as peak:
        with crowd.crowd(daemon.ready_address, act, CROWD):
            assert not daemon.ended()
            cluster.wait_until(daemon.ready, 'it reports readiness')
            call_patiently(daemon)
        cluster.wait_until(daemon.ready, 'it reports readiness')
    print(kind, peak)
    assert not daemon.ended()
    assert peak.memory_bytes < bound_bytes
    assert peak.descriptors <= DESCRIPTORS
