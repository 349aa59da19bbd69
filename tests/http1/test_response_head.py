"""Status lines and bounds of heads."""

import http.client
import io

import pytest
import urllib3

from chestnutshunt_daemon.http1 import malformed_response
from chestnutshunt_daemon.http1 import response_head

SAMPLE = b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Name: v\r\n\r\n'


def read(data):
    return response_head.read_head(io.BufferedReader(io.BytesIO(data)))


@pytest.mark.parametrize('code', [100, 102, 103, 150, 199])
def test_interim_responses_are_passed_over(code):
    data = b'HTTP/1.1 %d X\r\nLink: a\r\n\r\n' % code
    head = read(data * 3 + SAMPLE)
    assert head.status == 200
    assert len(head.fields) == 2


def test_other_protocols_are_not_switched_to():
    with pytest.raises(malformed_response.MalformedResponse):
        read(b'HTTP/1.1 101 X\r\nUpgrade: a\r\n\r\n' + SAMPLE)


def test_heads_are_bounded():
    line = b'A: b\r\n'
    start = b'HTTP/1.1 200 OK\r\n'
    most = response_head.MAX_FIELD_COUNT
    assert len(read(start + most * line + b'\r\n').fields) == most
    for data in (start + (most + 1) * line + b'\r\n', start + b'A:' * 99_999):
        with pytest.raises(malformed_response.MalformedResponse):
            read(data)


def test_the_end_of_the_connection_is_told_from_a_malformed_head():
    with pytest.raises(http.client.RemoteDisconnected):
        read(b'')
    for size in range(1, len(SAMPLE)):
        with pytest.raises(urllib3.exceptions.ProtocolError):
            read(SAMPLE[:size])
