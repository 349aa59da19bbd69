"""Chunked bodies against the grammar of RFC 9112, section 7.1."""

import io
import re

import pytest
import urllib3

from chestnutshunt_daemon.http1 import checked_response

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
SAMPLES = (
    b'5\r\nfirst\r\n06;a=b\r\nsecond\r\n0\r\n\r\n',
    b'a \r\n0123456789\r\n000\r\nX-Sum: 1\r\nY:\r\n\r\n',
)

SIZE = re.compile(rb'([0-9A-Fa-f]+)[ \t]*(?:;[\t -~\x80-\xff]*)?\r\n')
TRAILER = re.compile(rb"(?:[!#-'*+.0-9A-Z^-z|~-]+:[\t -~\x80-\xff]*\r\n)*\r\n")


class Connection:
    """Socket from which a response is read."""

    def __init__(self, data):
        self.data = data

    def makefile(self, mode):
        return io.BufferedReader(io.BytesIO(self.data))


def expected_body(data):
    """Return the decoded body, ``None`` if it is malformed or cut off."""
    body = b''
    while match := SIZE.match(data):
        data = data[match.end() :]
        size = int(match.group(1), 16)
        if not size:
            return body if TRAILER.match(data) else None
        body += data[:size]
        if data[size : size + 2] != b'\r\n':
            return None
        data = data[size + 2 :]
    return None


def read_body(data, read):
    """Return the body that is read, ``None`` if it is rejected."""
    source = checked_response.CheckedResponse(
        Connection(HEAD + data), method='GET'
    )
    source.begin()
    response = urllib3.HTTPResponse(
        source,
        source.headers.items(),
        preload_content=False,
        original_response=source,
    )
    try:
        return read(response)
    except urllib3.exceptions.HTTPError:
        return None


def read_chunks(response):
    """Read as the bodies of targets are read."""
    return b''.join(response.read_chunked(4))


def read_whole(response):
    """Read as replies are read."""
    return response.data


@pytest.mark.parametrize('read', [read_chunks, read_whole])
@pytest.mark.parametrize('sample', SAMPLES)
@pytest.mark.parametrize('size', [0, 1, 2])
def test_each_change_of_a_byte_is_judged_by_the_grammar(sample, size, read):
    assert read_body(sample, read) == expected_body(sample)
    for place in range(len(sample)):
        for byte in range(0, 256):
            data = sample[:place] + bytes([byte]) + sample[place + size :]
            assert read_body(data, read) == expected_body(data), data


@pytest.mark.parametrize('read', [read_chunks, read_whole])
@pytest.mark.parametrize('sample', SAMPLES)
def test_each_loss_of_bytes_is_judged_by_the_grammar(sample, read):
    for place in range(len(sample)):
        for end in range(place, len(sample)):
            data = sample[:place] + sample[end:]
            assert read_body(data, read) == expected_body(data), data
