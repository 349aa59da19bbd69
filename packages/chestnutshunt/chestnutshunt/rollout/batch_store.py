"""Base class of stores for encoded steps."""

import abc

__all__ = ['BatchStore']


class BatchStore(abc.ABC):
    """Stores encoded steps by digest, up to a total size."""

    @abc.abstractmethod
    def put(self, digest: str, data: bytes) -> bool:
        """Store the bytes; return False if they do not fit."""

    @abc.abstractmethod
    def get(self, digest: str) -> bytes | None:
        """Return the stored bytes, or ``None`` if there are none."""

    @abc.abstractmethod
    def drop(self, digest: str) -> None:
        """Delete the stored bytes, if there are any."""
