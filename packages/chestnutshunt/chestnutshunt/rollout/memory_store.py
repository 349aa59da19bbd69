"""Store for encoded steps in memory."""

import threading

from chestnutshunt.rollout import batch_store

__all__ = ['MemoryStore']

DEFAULT_MAX_BYTES = 134_217_728


class MemoryStore(batch_store.BatchStore):
    """Keeps steps in order of arrival and drops the oldest when it is full.

    All methods may be called from several threads.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.contents: dict[str, bytes] = {}
        self.used = 0
        self.lock = threading.Lock()

    def put(self, digest: str, data: bytes) -> bool:
        """Store the bytes; return False if they do not fit."""
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
        """Return the stored bytes, or ``None`` if there are none."""
        return self.contents.get(digest)

    def drop(self, digest: str) -> None:
        """Delete the stored bytes, if there are any."""
        with self.lock:
            self.used -= len(self.contents.pop(digest, b''))
