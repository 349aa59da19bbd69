"""Buffered reader of a client connection."""

import re

from chestnutshunt_daemon.clients import client_socket

__all__ = ['ClientReader']

PART_BYTES = 65_536

# The end of a head, or a line without the carriage return that it needs: the
# parser can decide on both.
DECIDED = re.compile(rb'\r\n\r\n|(?<!\r)\n')


class ClientReader:
    """Reads lines and parts of bodies, as cheroot's parser needs them.

    Parameters
    ----------
    sock : ClientSocket
        Socket that is read from.
    """

    def __init__(self, sock: client_socket.ClientSocket) -> None:
        self.sock = sock
        self.buffer = bytearray()
        self.bytes_read = 0
        self.ended = False
        self.closed = False
        # True if the buffer was found to hold only a part of a head.
        self.is_incomplete = False

    def receive_head(self, limit: int) -> bool:
        """Read what has come; return whether a head can be parsed.

        Parameters
        ----------
        limit : int
            Longest head in bytes, 0 for any.
        """
        limit = limit or PART_BYTES
        while not self.has_head(limit):
            data = self.sock.receive_now(limit + 1 - len(self.buffer))
            if data is None:
                self.is_incomplete = True
                return False
            self.add(data)
        self.is_incomplete = False
        return True

    def has_head(self, limit: int) -> bool:
        """Return whether the parser can decide on what has come."""
        return (
            self.ended
            or len(self.buffer) > limit
            or DECIDED.search(self.buffer) is not None
        )

    def add(self, data: bytes) -> None:
        """Add received data to the buffer; none is the end."""
        self.ended = self.ended or not data
        self.bytes_read += len(data)
        self.buffer += data

    def fill(self) -> bool:
        """Wait for more data; return False at the end."""
        if not self.ended:
            self.add(self.sock.receive(PART_BYTES))
        return not self.ended

    def take(self, size: int) -> bytes:
        """Remove bytes from the buffer and return them."""
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data

    def readline(self, size: int = PART_BYTES) -> bytes:
        """Return a line, or the first `size` bytes of a longer one."""
        while (end := self.buffer.find(b'\n', 0, size)) < 0:
            if len(self.buffer) >= size or not self.fill():
                return self.take(size)
        return self.take(end + 1)

    def read(self, size: int) -> bytes:
        """Return so many bytes, fewer only at the end."""
        while len(self.buffer) < size and self.fill():
            pass
        return self.take(size)

    def read_part(self, size: int) -> bytes:
        """Return at most so many bytes, b'' at the end."""
        if not self.buffer:
            self.fill()
        return self.take(size)

    def has_data(self) -> bool:
        """Return whether the buffer holds more than a part of a head."""
        return bool(self.buffer) and not self.is_incomplete

    def close(self) -> None:
        """Drop what was not read."""
        self.closed = True
        self.buffer.clear()
