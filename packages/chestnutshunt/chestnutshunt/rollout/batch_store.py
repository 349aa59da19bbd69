"""Base type of the stores of bulk bytes."""

import abc

__all__ = ['BatchStore']


class BatchStore(abc.ABC):
    """Keeps the bytes of steps by their digest, within a bound."""

    @abc.abstractmethod
    def put(self, digest: str, data: bytes) -> bool:
        """Keep some bytes; return False if they do not fit."""

    @abc.abstractmethod
    def get(self, digest: str) -> bytes | None:
        """Return kept bytes, or ``None``."""

    @abc.abstractmethod
    def drop(self, digest: str) -> None:
        """Stop keeping some bytes."""
