"""Body of a request in parts, which are freed as they are read."""

import collections
from collections.abc import Callable

__all__ = ['BodyParts']


class BodyParts:
    """File-like body that is read once.

    Parameters
    ----------
    cover : callable
        Holds memory for so many bytes of the body, more or less than before;
        raises `OutOfMemory`.
    """

    def __init__(self, cover: Callable[[int], None]) -> None:
        self.cover = cover
        self.parts: collections.deque[bytes] = collections.deque()
        self.size = 0

    def write(self, part: bytes) -> None:
        """Add a part at the end."""
        self.parts.append(part)
        self.size += len(part)

    def read(self, size: int = -1) -> bytes:
        """Return the next bytes, at most so many; b'' at the end."""
        if not size or not self.parts:
            return b''
        part = self.parts.popleft()
        if 0 < size < len(part):
            self.parts.appendleft(part[size:])
            part = part[:size]
        self.size -= len(part)
        self.cover(self.size)
        return part
