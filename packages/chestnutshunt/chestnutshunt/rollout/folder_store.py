"""Bulk bytes in a data folder."""

import pathlib

from chestnutshunt.rollout import batch_store

__all__ = ['FolderStore']

MAX_BYTES = 1_073_741_824


class FolderStore(batch_store.BatchStore):
    """One file for each step; the oldest go when the folder is full.

    Parameters
    ----------
    folder : str
        Data folder, made if it is missing.
    max_bytes : int, optional
        Bound of all files together.
    """

    def __init__(self, folder: str, max_bytes: int = MAX_BYTES) -> None:
        self.folder = pathlib.Path(folder) / 'steps'
        self.folder.mkdir(parents=True, exist_ok=True)
        self.max_bytes = max_bytes

    def put(self, digest: str, data: bytes) -> bool:
        """Keep some bytes; return False if they do not fit."""
        if len(data) > self.max_bytes or not digest.isalnum():
            return False
        self.make_room(len(data))
        part = self.folder / f'{digest}.part'
        part.write_bytes(data)
        part.replace(self.folder / digest)
        return True

    def get(self, digest: str) -> bytes | None:
        """Return kept bytes, or ``None``."""
        if not digest.isalnum():
            return None
        try:
            return (self.folder / digest).read_bytes()
        except FileNotFoundError:
            return None

    def drop(self, digest: str) -> None:
        """Stop keeping some bytes."""
        if digest.isalnum():
            (self.folder / digest).unlink(missing_ok=True)

    def make_room(self, size: int) -> None:
        """Delete the oldest files until `size` more bytes fit."""
        files = sorted(
            self.folder.iterdir(), key=lambda path: path.stat().st_mtime
        )
        used = sum(path.stat().st_size for path in files)
        while files and used + size > self.max_bytes:
            oldest = files.pop(0)
            used -= oldest.stat().st_size
            oldest.unlink(missing_ok=True)
