"""`chestnutshuntd` whose callers send, stop and read as they like."""

import contextlib
import time

import pytest
import urllib3

from chestnutshunt_standins import cluster
from tests.clients import crowd
from tests.clients import process_usage
from tests import fake_target

# The daemon's default for its memory, and a lowered setting.
MEMORY_MB = 256
THREADS = 8
DESCRIPTORS = 400

CROWD = 40
SILENT_CROWD = 600
BODY_BYTES = 24_000_000
MAX_BODY_BYTES = 33_554_432
ANSWER = b'a' * 15_000_000

PATIENCE_S = 30.0
CALL_S = 10.0


def head(token, path=b'/s/app/x'):
    return b'POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n' % (
        path,
        token.encode(),
    )


def say_nothing(client, token):
    pass


def stop_in_a_head(client, token):
    client.send(head(token) + b'X-Fill: ' + b'x' * 40_000)


def body_short_by_a_byte(client, token):
    client.send(head(token) + b'Content-Length: %d\r\n\r\n' % BODY_BYTES)
    client.send_parts(BODY_BYTES - 1)


def pieces_short_by_the_end(client, token):
    client.send(head(token) + b'Transfer-Encoding: chunked\r\n\r\n')
    for _ in range(BODY_BYTES // len(crowd.PART)):
        client.send(crowd.CHUNK)


def one_chunk_without_its_end(client, token):
    client.send(head(token) + b'Transfer-Encoding: chunked\r\n\r\n')
    client.send(b'%x\r\n' % BODY_BYTES)
    client.send_parts(BODY_BYTES)


def drip_in_a_body(client, token):
    client.send(head(token) + b'Content-Length: 1000\r\n\r\n')
    client.drip()


def trailer_line_without_end(client, token):
    client.send(head(token) + b'Transfer-Encoding: chunked\r\n\r\n')
    client.send(b'5\r\n01234\r\n0\r\nX-T: ')
    client.send_parts(BODY_BYTES)


def read_answers_slowly(client, token):
    client.send(head(token, b'/s/long/x') + b'Content-Length: 0\r\n\r\n')
    client.read_slowly()


CROWDS = {
    'silent': (say_nothing, SILENT_CROWD),
    'head-stopped': (stop_in_a_head, CROWD),
    'body-dripped': (drip_in_a_body, CROWD),
    'body-short': (body_short_by_a_byte, CROWD),
    'pieces-short': (pieces_short_by_the_end, CROWD),
    'one-chunk': (one_chunk_without_its_end, CROWD),
    'trailer-line': (trailer_line_without_end, CROWD),
    'answers-read-slowly': (read_answers_slowly, CROWD),
}


@pytest.fixture
def served(tmp_path):
    """Yield a daemon with targets in this process, and a key."""
    with cluster.cluster(tmp_path) as started:
        for name, body in (('app', b'fine'), ('long', ANSWER)):
            target = fake_target.FakeTarget(name, answer(body))
            started.stack.callback(target.close)
            value = {
                'service': name,
                'address': target.address,
                'datacentre': 'marmara-a',
                'state': 'running',
            }
            started.client.put('target', name, value, 0).unwrap()
            started.editor.set(
                f'services/{name}',
                {'max_body_bytes': MAX_BODY_BYTES, 'timeout_s': 20.0},
            )
        token = started.workspace('w')
        with process_usage.descriptor_limit(DESCRIPTORS):
            daemon = started.daemon('d', threads=THREADS)
        started.wait_ready()
        yield daemon, token


def answer(body):
    def step(connection, fields):
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        )
        connection.sendall(body)

    return step


def call_patiently(daemon, token):
    """Send one ordinary request, with retries, until it is answered."""
    pool = urllib3.PoolManager(retries=False, maxsize=1)
    end_at = time.monotonic() + PATIENCE_S
    outcomes = []
    while time.monotonic() < end_at:
        try:
            reply = pool.request(
                'POST',
                f'http://{daemon.caller}/s/app/x',
                body=b'body',
                headers={'Authorization': f'Bearer {token}'},
                timeout=urllib3.Timeout(connect=CALL_S, read=CALL_S),
            )
        except urllib3.exceptions.HTTPError as exc:
            outcomes.append(type(exc).__name__)
        else:
            if (reply.status, reply.data) == (200, b'fine'):
                return
            outcomes.append((reply.status, reply.data))
        pool.clear()
        time.sleep(0.1)
    raise AssertionError(f'not answered: {outcomes[:5]}')


@contextlib.contextmanager
def watched(daemon, address):
    """Check life, memory and descriptors of a daemon around a crowd."""
    bound_bytes = MEMORY_MB * 1_000_000
    port = int(address.rpartition(':')[2])
    with process_usage.watch(daemon, port, bound_bytes) as peak:
        yield
    print(peak)
    assert not daemon.ended()
    assert peak.memory_bytes < bound_bytes
    assert peak.descriptors <= DESCRIPTORS


@pytest.mark.timeout(300)
@pytest.mark.parametrize('kind', CROWDS)
def test_a_crowd_is_borne(served, kind):
    daemon, token = served
    act, count = CROWDS[kind]
    call_patiently(daemon, token)
    with watched(daemon, daemon.caller):
        with crowd.crowd(daemon.caller, lambda x: act(x, token), count):
            assert not daemon.ended()
            call_patiently(daemon, token)
        call_patiently(daemon, token)


# The same for readiness, metrics and dumps.
@pytest.mark.timeout(300)
@pytest.mark.parametrize(
    'kind', ['silent', 'head-stopped', 'body-short', 'one-chunk']
)
def test_the_admin_listener_bears_a_crowd(served, kind):
    daemon, token = served
    act, _ = CROWDS[kind]
    with watched(daemon, daemon.admin):
        with crowd.crowd(daemon.admin, lambda x: act(x, token), CROWD):
            assert not daemon.ended()
            cluster.wait_until(daemon.ready, 'it reports readiness')
        cluster.wait_until(daemon.ready, 'it reports readiness')
