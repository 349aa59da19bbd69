"""Reads the body of a target's response in parts, each within bounds."""

from collections.abc import Iterator

import urllib3

from chestnutshunt_daemon import bounded_socket

__all__ = ['read_parts']

PART_BYTES = 65_536

# Bytes that may be read for one part, framing and trailer included.
MAX_READ_BYTES = 4 * PART_BYTES


def read_parts(
    response: urllib3.BaseHTTPResponse,
    sock: bounded_socket.BoundedSocket,
    part_s: float | None = None,
    is_whole: bool = False,
) -> Iterator[bytes]:
    """Yield a body as it arrives.

    Parameters
    ----------
    response : BaseHTTPResponse
        Response whose head was read.
    sock : BoundedSocket
        Socket that it is read from.
    part_s : float, optional
        Seconds in which a part must arrive, or the trailer after the last.
        Without it, only the time between two reads is bounded.
    is_whole : bool, optional
        Whether the bounds that the socket has now are those of the whole
        body, and are kept.

    Raises
    ------
    ProtocolError
        The connection ended early.
    TimeoutError
        A part exceeds a bound.
    """
    parts = (
        response.read_chunked(PART_BYTES)
        if response.chunked
        else iter(lambda: response.read1(PART_BYTES), b'')
    )
    while True:
        if not is_whole:
            sock.limit(part_s, MAX_READ_BYTES)
        data = next(parts, None)
        if data is None:
            break
        yield data
    # What looks like the last chunk may be the cut-off size of another.
    if response.chunked and sock.ended:
        raise urllib3.exceptions.ProtocolError('last chunk cut off')
    if not response.chunked and response.length_remaining:
        raise urllib3.exceptions.ProtocolError(
            f'{response.length_remaining} bytes missing'
        )
