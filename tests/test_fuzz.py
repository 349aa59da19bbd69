"""Malformed input causes no crash, no thread leak and no leaked secret."""

import random
import socket

import grpc
import pytest

from chestnutshunt_daemon.wire import peer_pb2
from chestnutshunt_standins import cluster

SEED = 20261204
HTTP_CASE_COUNT = 9_000
PEER_CASE_COUNT = 2_000
PEER_CALLS = (
    'Beat',
    'Pull',
    'Claim',
    'Join',
    'Fetch',
    'KeepTallies',
    'GetTallies',
    'GetStep',
)


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    with cluster.cluster(tmp_path_factory.mktemp('fuzz')) as started:
        started.target('plain', 'orders', 'marmara-a', 'plain-1')
        started.editor.set(
            'services/orders',
            {'once_calls': ['POST /orders*'], 'max_body_bytes': 4096},
        )
        started.token = started.workspace('counter')
        started.daemon('one')
        started.wait_ready()
        yield started


def random_bytes(rng, length_limit):
    return bytes(
        rng.randrange(256) for _ in range(rng.randrange(length_limit))
    )


def make_request(rng, token):
    """Return the bytes of a request with one or more malformed parts."""
    method = rng.choice(
        [b'GET', b'POST', b'PUT', b'BREW', b'', random_bytes(rng, 8)]
    )
    path = rng.choice(
        [
            b'/s/orders/orders',
            b'/s/orders/../../x',
            b'/s//x',
            b'/s/none/x',
            b'/v1/runs/x/steps/-1',
            b'/v1/runs/x/steps/99999999999999999999',
            b'/s/orders/%00%ff',
            b'*',
            b'/' + random_bytes(rng, 40),
        ]
    )
    key = rng.choice(
        [
            token.encode(),
            token[:-1].encode() + b'!',
            b'..',
            b'counter.' + b'x' * rng.randrange(3000),
            random_bytes(rng, 60),
        ]
    )
    body = random_bytes(rng, 200)
    length = rng.choice(
        [
            str(len(body)).encode(),
            str(len(body) + 50).encode(),
            b'-1',
            b'99999999999',
            b'x',
            random_bytes(rng, 5),
        ]
    )
    headers = [
        b'Host: x',
        b'Authorization: Bearer ' + key,
        b'Content-Length: ' + length,
        rng.choice(
            [
                b'Idempotency-Key: ' + random_bytes(rng, 400),
                b'Request-Timeout: ' + random_bytes(rng, 9),
                b'Request-Timeout: nan',
                b'Transfer-Encoding: chunked',
                b'X' * rng.randrange(200) + b': ' + random_bytes(rng, 99),
                random_bytes(rng, 80),
            ]
        ),
    ]
    rng.shuffle(headers)
    head = method + b' ' + path + b' HTTP/1.1\r\n' + b'\r\n'.join(headers)
    request = head + b'\r\n\r\n' + body
    if rng.random() < 0.2:
        return request[: rng.randrange(len(request) + 1)]
    return request


def send_raw(address, data):
    host, _, port = address.partition(':')
    with socket.create_connection((host, int(port)), 10) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        connection.settimeout(20)
        answer = b''
        try:
            while part := connection.recv(65536):
                answer += part
        except ConnectionResetError:
            pass
    return answer


def threads_after_start(deployment):
    """Return the number of threads once all listeners have started theirs.

    The listener for callers serves its first request only after that.
    """
    daemon = deployment.daemons[0]
    assert daemon.call('/s/orders/look', b'x', deployment.token).status == 200
    return daemon.dump()['threads']


def test_malformed_requests(deployment):
    rng = random.Random(SEED)
    daemon = deployment.daemons[0]
    threads = threads_after_start(deployment)
    secret = deployment.token.rsplit('.', 1)[1].encode()
    for number in range(HTTP_CASE_COUNT):
        data = make_request(rng, deployment.token)
        answer = send_raw(daemon.caller, data)
        assert b' 500 ' not in answer[:40], (SEED, number, data, answer)
        assert secret not in answer, (SEED, number)
    check_daemon_healthy(deployment, threads)


def test_malformed_messages_of_peers(deployment):
    rng = random.Random(SEED + 1)
    daemon = deployment.daemons[0]
    threads = threads_after_start(deployment)
    with grpc.insecure_channel(daemon.peer) as channel:
        for number in range(PEER_CASE_COUNT):
            name = rng.choice(PEER_CALLS)
            call = channel.unary_stream(
                f'/chestnutshunt.peer.v1.Peer/{name}',
                request_serializer=bytes,
                response_deserializer=bytes,
            )
            data = random_bytes(rng, 120)
            if name == 'Beat' and rng.random() < 0.5:
                data = peer_pb2.Frame(
                    name='evil' * rng.randrange(100),
                    incarnation='x',
                    datacentre='marmara-a',
                    address=f'127.0.0.1:{rng.randrange(1, 9)}',
                    revision=rng.choice([-1, 0, 2**62]),
                ).SerializeToString()
            try:
                list(call(data, timeout=10))
            except grpc.RpcError as exc:
                assert exc.code() is not grpc.StatusCode.DEADLINE_EXCEEDED, (
                    SEED + 1,
                    number,
                    name,
                )
    check_daemon_healthy(deployment, threads)


def check_daemon_healthy(deployment, threads):
    daemon = deployment.daemons[0]
    assert daemon.call('/s/orders/look', b'x', deployment.token).status == 200
    cluster.wait_until(
        lambda: daemon.dump()['in_flight'] == 0, 'nothing is in flight'
    )
    try:
        cluster.wait_until(
            lambda: daemon.dump()['threads'] <= threads + 20, 'no thread leaks'
        )
    except AssertionError as exc:
        raise AssertionError(daemon.dump()['threads_by_name']) from exc
    text = daemon.log_path.read_text()
    assert deployment.token.rsplit('.', 1)[1] not in text
    assert 'Traceback' not in text, text[text.index('Traceback') :][:3000]
