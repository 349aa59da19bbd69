"""Heads of responses, read by the grammar of RFC 9110 and RFC 9112."""

import http.client
import re
from typing import BinaryIO

import attrs

from chestnutshunt_daemon.http1 import framing
from chestnutshunt_daemon.http1 import lines
from chestnutshunt_daemon.http1 import malformed_response

__all__ = ['RawHead', 'read_head']

# Fields of a head; that of the standard library.
MAX_FIELD_COUNT = 99

# Recipients may take LF for the end of a line (RFC 9112, section 2.2), and
# any spaces and tabs for what separates the parts of this one (section 4).
STATUS_LINE = re.compile(
    rb'[ \t]*HTTP/1\.([0-9])[ \t]+([0-9]{3})(?:[ \t](' + lines.TEXT + rb'))?'
)

# Classes of status codes (RFC 9110, section 15).
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599

SWITCHING_PROTOCOLS = 101


@attrs.frozen
class RawHead:
    """A well-formed head, whose fields are not decoded.

    Attributes
    ----------
    minor_version : int
        Version of HTTP/1 that the server speaks.
    status : int
        Status code, from 100 to 599.
    reason : bytes
        Reason phrase; may be empty.
    fields : list of (bytes, bytes)
        Names and values without white space around them.
    """

    minor_version: int
    status: int
    reason: bytes
    fields: list[tuple[bytes, bytes]]

    def encode(self) -> bytes:
        """Return the head in its simplest form."""
        parts = [
            b'HTTP/1.%d %d %s'
            % (self.minor_version, self.status, self.reason),
            *(b'%s: %s' % field for field in self.fields),
            b'\r\n',
        ]
        return b'\r\n'.join(parts)


def read_head(source: BinaryIO) -> RawHead:
    """Read the head of a final response, past those of interim ones.

    Raises
    ------
    MalformedResponse
        A head breaks the grammar, or its length or status is none.
    RemoteDisconnected, ProtocolError
        The connection ended before or within a head.
    """
    while True:
        head = read_one_head(source)
        if head.status >= FIRST_FINAL_STATUS:
            return head


def read_one_head(source: BinaryIO) -> RawHead:
    """Read the next head, also that of an interim response."""
    minor_version, status, reason = read_status_line(source)
    fields = []
    while line := lines.read_line(source, is_lf_enough=True):
        if len(fields) >= MAX_FIELD_COUNT:
            raise malformed_response.MalformedResponse(
                f'The head has more than {MAX_FIELD_COUNT} fields.'
            )
        fields.append(lines.parse_field(line))
    return RawHead(
        minor_version,
        status,
        reason,
        framing.normalize_framing(status, minor_version, fields),
    )


def read_status_line(source: BinaryIO) -> tuple[int, int, bytes]:
    """Return minor version, status and reason."""
    if not source.peek(1):
        raise http.client.RemoteDisconnected(
            'The connection ended without a response.'
        )
    line = lines.read_line(source, is_lf_enough=True)
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        raise malformed_response.MalformedResponse(
            'The first line of the head is no status line.'
        )
    status = int(match.group(2))
    if not FIRST_STATUS <= status <= LAST_STATUS:
        raise malformed_response.MalformedResponse(
            f'{status:03} is no status.'
        )
    # No request asks for another protocol.
    if status == SWITCHING_PROTOCOLS:
        raise malformed_response.MalformedResponse(
            'The server switches protocols unasked.'
        )
    reason = (match.group(3) or b'').strip(b' \t')
    return int(match.group(1)), status, reason
