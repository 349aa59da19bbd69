"""Fields that tell the length of a response's body."""

import re

from chestnutshunt_daemon.http1 import malformed_response

__all__ = ['normalize_framing']

Fields = list[tuple[bytes, bytes]]

LENGTH_NAME = b'content-length'
CODING_NAME = b'transfer-encoding'

# Longer numbers exceed any body.
LENGTH = re.compile(rb'0*([0-9]{1,18})')

# Their responses have no body, whatever the fields say.
BODILESS_STATUSES = frozenset((204, 304))


def normalize_framing(
    status: int, minor_version: int, fields: Fields
) -> Fields:
    """Return the fields with the framing in its simplest form.

    Raises
    ------
    MalformedResponse
        The fields do not tell where the body ends (RFC 9112, section 6.3).
    """
    lengths = [v for name, v in fields if name.lower() == LENGTH_NAME]
    codings = [v for name, v in fields if name.lower() == CODING_NAME]
    if not (lengths or codings):
        return fields
    others = [
        (name, value)
        for name, value in fields
        if name.lower() not in (LENGTH_NAME, CODING_NAME)
    ]
    if not codings:
        return [*others, (LENGTH_NAME, parse_length(lengths))]
    if lengths:
        raise malformed_response.MalformedResponse(
            'The head has both Content-Length and Transfer-Encoding.'
        )
    if not minor_version:
        raise malformed_response.MalformedResponse(
            'HTTP/1.0 has no Transfer-Encoding.'
        )
    check_codings(codings)
    if status in BODILESS_STATUSES:
        return others
    return [*others, (CODING_NAME, b'chunked')]


def parse_length(values: list[bytes]) -> bytes:
    """Return the length that all values name, in decimal digits."""
    matches = [
        LENGTH.fullmatch(value.strip(b' \t'))
        for value in b','.join(values).split(b',')
    ]
    lengths = {match and match.group(1) for match in matches}
    length = lengths.pop()
    if lengths or length is None:
        raise malformed_response.MalformedResponse(
            'Content-Length is no length.'
        )
    return length


def check_codings(values: list[bytes]) -> None:
    """Check that a body is chunked and nothing else.

    No other coding has been asked for.
    """
    codings = [
        coding.strip(b' \t').lower()
        for coding in b','.join(values).split(b',')
    ]
    if [coding for coding in codings if coding] != [b'chunked']:
        raise malformed_response.MalformedResponse(
            'Transfer-Encoding is not chunked.'
        )
