"""Body of a client's request, read in parts within bounds."""

import abc
from collections.abc import Callable
from collections.abc import Iterator
import io
import re
from typing import BinaryIO

from chestnutshunt import errors
from chestnutshunt_daemon.clients import client_reader

__all__ = ['ChunkedBody', 'LengthBody', 'RequestBody']

Cover = Callable[[int], None]

PART_BYTES = 65_536

# Longest line with the size of a chunk and its extensions.
MAX_SIZE_LINE_BYTES = 4096
SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,16})[ \t]*(?:;.*)?\r\n', re.DOTALL)


class RequestBody(abc.ABC):
    """A body that may still arrive.

    Parameters
    ----------
    reader : ClientReader
        Where it is read from.
    cover : callable
        Holds memory for so many bytes of it; raises `OutOfMemory`.

    Attributes
    ----------
    is_complete : bool
        True once it was read to its end.
    """

    def __init__(
        self, reader: client_reader.ClientReader, cover: Cover
    ) -> None:
        self.reader = reader
        self.cover = cover
        self.kept_bytes = 0
        self.is_complete = False

    @property
    def is_buffered(self) -> bool:
        """Whether the whole body is known to have come."""
        return self.is_complete

    @abc.abstractmethod
    def next_part(self, size: int) -> bytes:
        """Return at most so many bytes, b'' behind the last.

        Raises
        ------
        ValueError
            The body is malformed, or its client ended it early.
        BadRequest
            The body exceeds a bound.
        """

    def parts(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raises the errors of `next_part`."""
        while part := self.next_part(PART_BYTES):
            yield part

    def read(self, size: int | None = None) -> bytes:
        """Return so many bytes or the whole body, fewer only at its end.

        Raises `OutOfMemory` as well.
        """
        kept = io.BytesIO()
        self.reserve()
        while size is None or kept.tell() < size:
            left = PART_BYTES if size is None else size - kept.tell()
            part = self.next_part(min(left, PART_BYTES))
            if not part:
                break
            self.keep(kept, part)
        return kept.getvalue()

    def reserve(self) -> None:
        """Hold memory for all that is known to come."""
        self.cover(0)

    def keep(self, kept: BinaryIO, part: bytes) -> None:
        """Write a part to a file in memory, once there is memory for it."""
        self.kept_bytes += len(part)
        self.cover(self.kept_bytes)
        kept.write(part)

    def discard(self) -> None:
        """Read the rest without keeping it."""
        for _ in self.parts():
            pass


class LengthBody(RequestBody):
    """A body whose length was sent before it.

    Parameters
    ----------
    reader, cover : ClientReader, callable
        As for `RequestBody`.
    length : int
        Its length in bytes.
    """

    def __init__(
        self, reader: client_reader.ClientReader, cover: Cover, length: int
    ) -> None:
        super().__init__(reader, cover)
        self.length = length
        self.left_bytes = length
        self.is_complete = not length

    @property
    def is_buffered(self) -> bool:
        """Whether the whole body is known to have come."""
        return self.left_bytes <= len(self.reader.buffer)

    def reserve(self) -> None:
        """Hold memory for all that is known to come."""
        self.cover(self.length)

    def keep(self, kept: BinaryIO, part: bytes) -> None:
        """Write a part to a file in memory that was reserved."""
        kept.write(part)

    def next_part(self, size: int) -> bytes:
        """Return at most so many bytes, b'' behind the last."""
        if self.is_complete:
            return b''
        data = self.reader.read_part(min(size, self.left_bytes))
        if not data:
            raise ValueError(
                f'The body lacks {self.left_bytes} of {self.length} bytes.'
            )
        self.left_bytes -= len(data)
        self.is_complete = not self.left_bytes
        return data


class ChunkedBody(RequestBody):
    """A body in chunks, with a trailer that is not used.

    Parameters
    ----------
    reader, cover : ClientReader, callable
        As for `RequestBody`.
    max_bytes : int
        Largest body without its framing, 0 for any.
    max_trailer_bytes : int
        Largest trailer, 0 for any.
    """

    def __init__(
        self,
        reader: client_reader.ClientReader,
        cover: Cover,
        max_bytes: int,
        max_trailer_bytes: int,
    ) -> None:
        super().__init__(reader, cover)
        self.max_bytes = max_bytes
        self.max_trailer_bytes = max_trailer_bytes
        self.received_bytes = 0
        self.chunk_bytes = 0

    def next_part(self, size: int) -> bytes:
        """Return at most so many bytes, b'' behind the last chunk."""
        if self.is_complete:
            return b''
        if not self.chunk_bytes:
            self.chunk_bytes = self.read_size()
            if not self.chunk_bytes:
                self.read_trailer()
                self.is_complete = True
                return b''
        data = self.reader.read_part(min(size, self.chunk_bytes))
        if not data:
            raise ValueError(f'A chunk lacks {self.chunk_bytes} bytes.')
        self.received_bytes += len(data)
        self.chunk_bytes -= len(data)
        if not self.chunk_bytes and self.reader.read(2) != b'\r\n':
            raise ValueError('A chunk is not followed by a line end.')
        return data

    def read_size(self) -> int:
        """Read the size of a chunk, and check it before the chunk comes."""
        line = self.reader.readline(MAX_SIZE_LINE_BYTES)
        matched = SIZE_LINE.fullmatch(line)
        if matched is None:
            raise ValueError('The size of a chunk is malformed.')
        size = int(matched[1], 16)
        if self.max_bytes and self.received_bytes + size > self.max_bytes:
            raise too_large(
                f'The body is larger than {self.max_bytes} bytes.', 413
            )
        return size

    def read_trailer(self) -> None:
        """Read the lines behind the last chunk."""
        read_bytes = 0
        # What looks like the last chunk may be the cut-off size of another.
        while (line := self.reader.readline()) != b'\r\n':
            read_bytes += len(line)
            if self.max_trailer_bytes and read_bytes > self.max_trailer_bytes:
                raise too_large(
                    f'The trailer is larger than {self.max_trailer_bytes} '
                    'bytes.',
                    431,
                )
            if not line.endswith(b'\r\n'):
                raise ValueError('The trailer is malformed or cut off.')


def too_large(message: str, status: int) -> errors.BadRequest:
    """Return the error of a request that is larger than is allowed."""
    error = errors.BadRequest(message, 'Send a smaller request.')
    error.status = status
    return error
