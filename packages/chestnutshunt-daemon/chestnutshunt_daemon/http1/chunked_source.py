"""Chunked bodies, whose framing is checked while it is read."""

import io
import re
from typing import BinaryIO

from chestnutshunt_daemon.http1 import lines
from chestnutshunt_daemon.http1 import malformed_response

__all__ = ['ChunkedSource']

# Longer numbers exceed any body.
CHUNK_SIZE = re.compile(
    rb'0*([0-9A-Fa-f]{1,15})[ \t]*(?:;' + lines.TEXT + rb')?'
)

# A part of this size is asked for at a time, whatever size a chunk claims.
PART_BYTES = 65_536

LINE_END = b'\r\n'


class ChunkedSource(io.BufferedIOBase):
    """File of a chunked body with its framing, for a reader of chunks.

    The standard library and urllib3 take any number that Python knows for the
    size of a chunk, any two bytes for its end, and any lines for a trailer.
    They read sizes and trailers by line, and chunks and their ends by size.

    Parameters
    ----------
    source : BinaryIO
        Buffered file of the connection behind the head.
    """

    def __init__(self, source: BinaryIO) -> None:
        self.source = source
        self.left_bytes = 0
        self.in_trailer = False

    def readline(self, size: int | None = -1) -> bytes:
        """Return the next size of a chunk or line of the trailer.

        Raises
        ------
        MalformedResponse
            The line is neither.
        ProtocolError
            The connection ended.
        """
        line = lines.read_line(self.source)
        if not self.in_trailer:
            match = CHUNK_SIZE.fullmatch(line)
            if match is None:
                raise malformed_response.MalformedResponse(
                    'The size of a chunk is no size.'
                )
            self.left_bytes = int(match.group(1), 16)
            self.in_trailer = not self.left_bytes
        elif line:
            lines.parse_field(line)
        return line + LINE_END

    def read(self, size: int) -> bytes:
        """Return so many bytes of a chunk, or its end.

        Fewer are returned at the end of the connection.

        Raises
        ------
        MalformedResponse
            The chunk does not end where its size says.
        """
        data = bytearray()
        while len(data) < size:
            part = self.source.read(min(size - len(data), PART_BYTES))
            if not part:
                break
            data += part
        if self.left_bytes:
            self.left_bytes -= len(data)
        elif len(data) == len(LINE_END) and data != LINE_END:
            raise malformed_response.MalformedResponse(
                'A chunk does not end where its size says.'
            )
        return bytes(data)

    def close(self) -> None:
        """Close the file of the connection."""
        self.source.close()
        super().close()
