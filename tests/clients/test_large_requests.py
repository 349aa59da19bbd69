"""One request as large as the operator allows, alone at a small VM."""

import base64
import json

import pytest

from tests.clients import crowd
from tests.clients import process_usage
from tests.clients import test_client_crowds
from tests.faults import test_fleet

fleet = test_fleet.fleet

# Memory of the smallest VM of the sites.
MEMORY_MB = 128
BODY_BYTES = test_client_crowds.LIMITS['maxBodyBytes']

ITEM_BYTES = 48_000
SMALL_ITEM_BYTES = 900
# More than an object of the store holds, and the most in one item.
LARGE_ITEM_BYTES = 1_200_000
WHOLE_ITEM_BYTES = 25_000_000


def by_length(client):
    client.send(test_client_crowds.length_head(BODY_BYTES))
    client.send_parts(BODY_BYTES)


def in_pieces(client):
    client.send(test_client_crowds.CHUNKED_HEAD)
    for _ in range(BODY_BYTES // len(crowd.PART)):
        client.send(crowd.CHUNK)
    client.send(b'0\r\n\r\n')


def in_one_chunk(client):
    client.send(test_client_crowds.CHUNKED_HEAD + b'%x\r\n' % BODY_BYTES)
    client.send_parts(BODY_BYTES)
    client.send(b'\r\n0\r\n\r\n')


def job_body(item_bytes):
    """Return a job of about the largest size, of items of one size."""
    value = json.loads(test_fleet.job_body(1))
    model = value['items'][0]
    model['body'] = base64.b64encode(b'x' * item_bytes).decode()
    length = len(json.dumps({**model, 'id': 'i000000'})) + 2
    count = (BODY_BYTES - 200) // length
    items = [{**model, 'id': f'i{n:06}'} for n in range(count)]
    return json.dumps({**value, 'items': items}).encode(), count


FORMS = {
    'length': by_length,
    'pieces': in_pieces,
    'one-chunk': in_one_chunk,
}


@pytest.mark.parametrize('form', FORMS)
def test_a_request_alone_is_served(fleet, form):
    daemon = test_client_crowds.start(fleet, MEMORY_MB)
    received = []

    def act(client):
        FORMS[form](client)
        client.sock.settimeout(crowd.SETTLE_S)
        received.append(client.sock.recv(65_536))

    with watch(daemon) as peak, crowd.crowd(daemon.caller, act, 1):
        assert received and received[0].startswith(b'HTTP/1.1 200'), received
    print(form, peak)
    assert not daemon.ended()
    assert peak.memory_bytes < MEMORY_MB * 1_000_000


def watch(daemon):
    port = int(daemon.caller.rpartition(':')[2])
    return process_usage.watch(daemon, port, MEMORY_MB * 1_000_000)


@pytest.mark.timeout(300)
@pytest.mark.parametrize(
    'item_bytes',
    [ITEM_BYTES, SMALL_ITEM_BYTES, LARGE_ITEM_BYTES, WHOLE_ITEM_BYTES],
)
def test_a_job_alone_is_accepted_and_run(fleet, item_bytes):
    daemon = test_client_crowds.start(fleet, MEMORY_MB)
    body, count = job_body(item_bytes)
    assert len(body) <= BODY_BYTES
    with watch(daemon) as peak:
        answer = daemon.call('POST', '/model/', body, 'j1')
        assert answer.status == 202, answer.data
        item = daemon.call('GET', f'/v1/items/j1?id=i{count - 1:06}')
        assert (item.status, item.data) == (200, b'x' * item_bytes)
        test_client_crowds.call_patiently(daemon)
    print(item_bytes, count, peak)
    assert not daemon.ended()
    assert peak.memory_bytes < MEMORY_MB * 1_000_000
