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
        taken = []
        left = self.size if size < 0 else min(size, self.size)
        while left:
            part = self.parts.popleft()
            if len(part) > left:
                self.parts.appendleft(part[left:])
                part = part[:left]
            left -= len(part)
            self.size -= len(part)
            taken.append(part)
        if taken:
            self.cover(self.size)
        return b''.join(taken)
