"""Hostile callers and peers: no crash, no lost thread, no secret told."""

import random
import socket

import grpc
import pytest

from chestnutshunt_daemon.wire import peer_pb2
from chestnutshunt_standins import cluster

SEED = 20261204
HTTP_CASES = 9_000
PEER_CASES = 2_000
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
def parts(tmp_path_factory):
    with cluster.cluster(tmp_path_factory.mktemp('fuzz')) as made:
        made.target('plain', 'orders', 'marmara-a', 'plain-1')
        made.editor.set(
            'services/orders',
            {'once_calls': ['POST /orders*'], 'max_body_bytes': 4096},
        )
        made.token = made.workspace('counter')
        made.daemon('one')
        made.wait_ready()
        yield made


def random_bytes(order, most):
    return bytes(order.randrange(256) for _ in range(order.randrange(most)))


def make_request(order, token):
    """Return the bytes of a request that is wrong in one or more places."""
    method = order.choice(
        [b'GET', b'POST', b'PUT', b'BREW', b'', random_bytes(order, 8)]
    )
    path = order.choice(
        [
            b'/s/orders/orders',
            b'/s/orders/../../x',
            b'/s//x',
            b'/s/none/x',
            b'/v1/runs/x/steps/-1',
            b'/v1/runs/x/steps/99999999999999999999',
            b'/s/orders/%00%ff',
            b'*',
            b'/' + random_bytes(order, 40),
        ]
    )
    key = order.choice(
        [
            token.encode(),
            token[:-1].encode() + b'!',
            b'..',
            b'counter.' + b'x' * order.randrange(3000),
            random_bytes(order, 60),
        ]
    )
    body = random_bytes(order, 200)
    length = order.choice(
        [
            str(len(body)).encode(),
            str(len(body) + 50).encode(),
            b'-1',
            b'99999999999',
            b'x',
            random_bytes(order, 5),
        ]
    )
    headers = [
        b'Host: x',
        b'Authorization: Bearer ' + key,
        b'Content-Length: ' + length,
        order.choice(
            [
                b'Idempotency-Key: ' + random_bytes(order, 400),
                b'Request-Timeout: ' + random_bytes(order, 9),
                b'Request-Timeout: nan',
                b'Transfer-Encoding: chunked',
                b'X' * order.randrange(200) + b': ' + random_bytes(order, 99),
                random_bytes(order, 80),
            ]
        ),
    ]
    order.shuffle(headers)
    head = method + b' ' + path + b' HTTP/1.1\r\n' + b'\r\n'.join(headers)
    whole = head + b'\r\n\r\n' + body
    if order.random() < 0.2:
        return whole[: order.randrange(len(whole) + 1)]
    return whole


def send_raw(address, data):
    host, _, port = address.partition(':')
    with socket.create_connection((host, int(port)), 10) as link:
        link.sendall(data)
        link.shutdown(socket.SHUT_WR)
        link.settimeout(20)
        answer = b''
        try:
            while part := link.recv(65536):
                answer += part
        except ConnectionResetError:
            pass
    return answer


def test_malformed_requests(parts):
    order = random.Random(SEED)
    daemon = parts.daemons[0]
    threads = daemon.dump()['threads']
    secret = parts.token.rsplit('.', 1)[1].encode()
    for number in range(HTTP_CASES):
        data = make_request(order, parts.token)
        answer = send_raw(daemon.caller, data)
        assert b' 500 ' not in answer[:40], (SEED, number, data, answer)
        assert secret not in answer, (SEED, number)
    check_unharmed(parts, threads)


def test_malformed_messages_of_peers(parts):
    order = random.Random(SEED + 1)
    daemon = parts.daemons[0]
    threads = daemon.dump()['threads']
    with grpc.insecure_channel(daemon.peer) as channel:
        for number in range(PEER_CASES):
            name = order.choice(PEER_CALLS)
            call = channel.unary_stream(
                f'/chestnutshunt.peer.v1.Peer/{name}',
                request_serializer=bytes,
                response_deserializer=bytes,
            )
            data = random_bytes(order, 120)
            if name == 'Beat' and order.random() < 0.5:
                data = peer_pb2.Frame(
                    name='evil' * order.randrange(100),
                    incarnation='x',
                    datacentre='marmara-a',
                    address=f'127.0.0.1:{order.randrange(1, 9)}',
                    revision=order.choice([-1, 0, 2**62]),
                ).SerializeToString()
            try:
                list(call(data, timeout=10))
            except grpc.RpcError as exc:
                assert exc.code() is not grpc.StatusCode.DEADLINE_EXCEEDED, (
                    SEED + 1,
                    number,
                    name,
                )
    check_unharmed(parts, threads)


def check_unharmed(parts, threads):
    daemon = parts.daemons[0]
    assert daemon.call('/s/orders/look', b'x', parts.token).status == 200
    cluster.wait_until(
        lambda: daemon.dump()['in_flight'] == 0, 'nothing is in flight'
    )
    cluster.wait_until(
        lambda: daemon.dump()['threads'] <= threads + 20, 'no thread leaks'
    )
    text = daemon.log_path.read_text()
    assert parts.token.rsplit('.', 1)[1] not in text
    assert 'Traceback' not in text, text[text.index('Traceback') :][:3000]
