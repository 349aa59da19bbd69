"""Socket whose reads end at a deadline and after a number of bytes."""

import socket
import time
from typing import Any

__all__ = ['BoundedSocket', 'bound']


class BoundedSocket(socket.socket):
    """Bounds what a target can make a daemon wait for or keep in memory.

    A timeout alone bounds the time between two reads: a target that sends a
    byte now and then, or bytes without end, never exceeds it.

    Attributes
    ----------
    silence_s : float or None
        Longest time of one read in seconds.
    read_until : float or None
        Steady time in seconds after which no more is read.
    bytes_left : int or None
        Bytes that may still be read.
    ended : bool
        True once a read has met the end of the connection.
    """

    silence_s: float | None = None
    read_until: float | None = None
    bytes_left: int | None = None
    ended: bool = False

    def settimeout(self, value: float | None) -> None:
        """Set the longest time of one read or write in seconds."""
        self.silence_s = value
        super().settimeout(value)

    def limit(
        self, read_s: float | None, max_bytes: int | None = None
    ) -> None:
        """Bound the reads from now on, in seconds and bytes."""
        self.read_until = None if read_s is None else time.monotonic() + read_s
        self.bytes_left = max_bytes

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Read within the bounds; raises `TimeoutError` beyond them."""
        if self.bytes_left is not None and self.bytes_left <= 0:
            raise TimeoutError('The target sent more than may be read.')
        if self.read_until is not None:
            left_s = self.read_until - time.monotonic()
            if left_s <= 0:
                raise TimeoutError('The target sent too slowly.')
            if self.silence_s is not None:
                left_s = min(left_s, self.silence_s)
            super().settimeout(left_s)
        count = super().recv_into(*args, **kwargs)
        self.ended = self.ended or not count
        if self.bytes_left is not None:
            self.bytes_left -= count
        return count


def bound(sock: socket.socket) -> BoundedSocket:
    """Return a bounded socket that takes a socket's connection over."""
    if isinstance(sock, BoundedSocket):
        return sock
    timeout_s = sock.gettimeout()
    bounded = BoundedSocket(
        sock.family, sock.type, sock.proto, fileno=sock.detach()
    )
    bounded.settimeout(timeout_s)
    return bounded
