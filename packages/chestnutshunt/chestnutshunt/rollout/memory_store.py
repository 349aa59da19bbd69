"""Bulk bytes in memory."""

import threading

from chestnutshunt.rollout import batch_store

__all__ = ['MemoryStore']

MAX_BYTES = 134_217_728


class MemoryStore(batch_store.BatchStore):
    """Drops the oldest bytes when it is full."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.contents: dict[str, bytes] = {}
        self.used = 0
        self.lock = threading.Lock()

    def put(self, digest: str, data: bytes) -> bool:
        """Keep some bytes; return False if they do not fit."""
        if len(data) > self.max_bytes:
            return False
        with self.lock:
            if digest in self.contents:
                return True
            while self.used + len(data) > self.max_bytes:
                oldest = next(iter(self.contents))
                self.used -= len(self.contents.pop(oldest))
            self.contents[digest] = data
            self.used += len(data)
        return True

    def get(self, digest: str) -> bytes | None:
        """Return kept bytes, or ``None``."""
        return self.contents.get(digest)

    def drop(self, digest: str) -> None:
        """Stop keeping some bytes."""
        with self.lock:
            self.used -= len(self.contents.pop(digest, b''))
