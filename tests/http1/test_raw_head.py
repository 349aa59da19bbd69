"""The reader of heads against the grammar of RFC 9110 and RFC 9112."""

import http.client
import io
import re
import time

import pytest
import urllib3

from chestnutshunt_daemon.http1 import malformed_response
from chestnutshunt_daemon.http1 import raw_head

# The grammar once more, of a whole head. Lines may end in LF alone.
LINE_END = rb'\r?\n'
TOKEN = rb"[!#-'*+.0-9A-Z^-z|~-]+"
VALUE = rb'[\t -~\x80-\xff]*'
HEAD = re.compile(
    rb'[ \t]*HTTP/1\.([0-9])[ \t]+([1-5][0-9][0-9])(?:[ \t]%s)?%s'
    rb'((?:%s:%s%s)*)%s' % (VALUE, LINE_END, TOKEN, VALUE, LINE_END, LINE_END)
)

SAMPLES = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Name: v\r\n\r\n',
    b'HTTP/1.1 404 \r\nTransfer-Encoding: chunked\r\nX: \xe4\r\n\r\n',
    b'HTTP/1.0 500 No\r\nA: b\r\nContent-Length:3, 3\r\n\r\n',
)


def expected_fields(data):
    """Return the fields of a head by name, ``None`` if it is malformed.

    None is expected behind an interim response too, as no other follows.
    """
    match = HEAD.match(data)
    if match is None or match.group(2).startswith(b'1'):
        return None
    fields = {}
    for line in match.group(3).splitlines():
        name, _, value = line.partition(b':')
        fields.setdefault(name.lower(), []).append(value.strip(b' \t'))
    lengths = fields.get(b'content-length')
    codings = fields.get(b'transfer-encoding')
    if codings:
        named = [x.strip(b' \t') for x in codings[0].split(b',')]
        named = [x.lower() for x in named if x]
        if named != [b'chunked'] or match.group(1) == b'0':
            return None
        fields[b'transfer-encoding'] = [b'chunked']
        if match.group(2) in (b'204', b'304'):
            del fields[b'transfer-encoding']
    if lengths:
        values = [x.strip(b' \t') for x in lengths[0].split(b',')]
        if not all(re.fullmatch(rb'[0-9]+', x) for x in values):
            return None
        if len({int(x) for x in values}) > 1:
            return None
        fields[b'content-length'] = [b'%d' % int(values[0])]
    return fields


def read_fields(data):
    """Return what is read of a head, ``None`` if it is rejected."""
    try:
        head = raw_head.read_head(io.BufferedReader(io.BytesIO(data)))
    except (
        malformed_response.MalformedResponse,
        urllib3.exceptions.ProtocolError,
        http.client.RemoteDisconnected,
    ):
        return None
    fields = {}
    for name, value in head.fields:
        fields.setdefault(name.lower(), []).append(value)
    return fields


@pytest.mark.parametrize('sample', SAMPLES)
@pytest.mark.parametrize('size', [0, 1, 2])
def test_each_change_of_a_byte_is_judged_by_the_grammar(sample, size):
    """A byte is put in, or stands for one or two others, at each place."""
    served = 0
    for place in range(len(sample)):
        for byte in range(256):
            data = sample[:place] + bytes([byte]) + sample[place + size :]
            expected = expected_fields(data)
            assert read_fields(data) == expected, data
            served += expected is not None
    assert served


@pytest.mark.parametrize('sample', SAMPLES)
def test_each_loss_of_bytes_is_judged_by_the_grammar(sample):
    for place in range(len(sample)):
        for end in range(place, len(sample)):
            data = sample[:place] + sample[end:]
            assert read_fields(data) == expected_fields(data), data


def read(data):
    return raw_head.read_head(io.BufferedReader(io.BytesIO(data)))


@pytest.mark.parametrize('code', [100, 102, 103, 150, 199])
def test_interim_responses_are_passed_over(code):
    data = b'HTTP/1.1 %d X\r\nLink: a\r\n\r\n' % code
    head = read(data * 3 + SAMPLES[0])
    assert head.status == 200
    assert dict(head.fields) == {b'X-Name': b'v', b'content-length': b'12'}


def test_other_protocols_are_not_switched_to():
    with pytest.raises(malformed_response.MalformedResponse):
        read(b'HTTP/1.1 101 X\r\nUpgrade: a\r\n\r\n' + SAMPLES[0])


def test_heads_are_bounded():
    line = b'A: b\r\n'
    start = b'HTTP/1.1 200 OK\r\n'
    most = raw_head.MAX_FIELD_COUNT
    assert len(read(start + most * line + b'\r\n').fields) == most
    for data in (start + (most + 1) * line + b'\r\n', start + b'A:' * 99_999):
        with pytest.raises(malformed_response.MalformedResponse):
            read(data)


def test_the_end_of_the_connection_is_told_from_a_malformed_head():
    with pytest.raises(http.client.RemoteDisconnected):
        read(b'')
    for size in range(1, len(SAMPLES[0])):
        with pytest.raises(urllib3.exceptions.ProtocolError):
            read(SAMPLES[0][:size])


# Guards against Fault: a pattern that tries each division of a long run took
# seconds of the processor for one head.
@pytest.mark.parametrize(
    'line',
    [
        b'HTTP/1.1 200' + b' ' * 60_000 + b'\0',
        b'HTTP/1.1 200 ' + b'\t ' * 30_000 + b'\0',
        b' ' * 60_000 + b'HTTP',
        b'HTTP/1.1' + b' ' * 60_000 + b'2',
        b'HTTP/1.1 200 OK\r\n' + b'a' * 60_000,
        b'HTTP/1.1 200 OK\r\na:' + b' ' * 60_000 + b'\0',
        b'HTTP/1.1 200 OK\r\nContent-Length: ' + b'0' * 60_000 + b'x',
        b'HTTP/1.1 200 OK\r\nContent-Length: ' + b'1,' * 30_000,
    ],
)
def test_long_lines_are_judged_at_once(line):
    started_at = time.process_time()
    with pytest.raises(malformed_response.MalformedResponse):
        read(line + b'\r\n\r\n')
    assert time.process_time() - started_at < 1.0
