"""Lines of heads, chunked bodies and trailers."""

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


def read_line(source: BinaryIO, is_lf_enough: bool = False) -> bytes:
    """Return the next line without its end.

    Parameters
    ----------
    source : BinaryIO
        File to read from.
    is_lf_enough : bool, optional
        Whether a line may end in LF without CR.

    Raises
    ------
    MalformedResponse
        The line is too long or does not end in CRLF.
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
    if line.endswith(b'\r\n'):
        return line[:-2]
    if not is_lf_enough:
        raise malformed_response.MalformedResponse(
            'A line does not end in CRLF.'
        )
    return line[:-1]


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
            'A line of the head or trailer is no field.'
        )
    name, value = match.groups()
    return name, value.strip(b' \t')
