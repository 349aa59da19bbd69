"""Lines of heads."""

import re
from typing import BinaryIO

import urllib3

from chestnutshunt_daemon.http1 import malformed_response

__all__ = ['TEXT', 'parse_field', 'read_line']

# Of a line with its end; that of the standard library.
MAX_LINE_BYTES = 65_536

# Text of values and reasons (RFC 9110, section 5.5).
TEXT = rb'[\t\x20-\x7e\x80-\xff]*'

# No space may stand before the name or the colon (RFC 9112, section 5.1).
FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(" + TEXT + rb')')


def read_line(source: BinaryIO) -> bytes:
    """Return the next line without its end, CRLF or LF.

    Raises
    ------
    MalformedResponse
        The line is too long.
    ProtocolError
        The connection ended within the line.
    """
    line = source.readline(MAX_LINE_BYTES + 1)
    if len(line) > MAX_LINE_BYTES:
        raise malformed_response.MalformedResponse(
            f'A line has more than {MAX_LINE_BYTES} bytes.'
        )
    if not line.endswith(b'\n'):
        raise urllib3.exceptions.ProtocolError(
            'The connection ended within a line.'
        )
    return line.removesuffix(b'\n').removesuffix(b'\r')


def parse_field(line: bytes) -> tuple[bytes, bytes]:
    """Return name and value of a field.

    Folded lines count as malformed (RFC 9112, section 5.2).

    Raises
    ------
    MalformedResponse
        The line is no field.
    """
    match = FIELD.fullmatch(line)
    if match is None:
        raise malformed_response.MalformedResponse(
            'A line of the head is no field.'
        )
    name, value = match.groups()
    return name, value.strip(b' \t')
