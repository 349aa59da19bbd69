"""Store for encoded steps in a folder on disk."""

import pathlib

from chestnutshunt.rollout import batch_store

__all__ = ['FolderStore']

DEFAULT_MAX_BYTES = 1_073_741_824


class FolderStore(batch_store.BatchStore):
    """One file per step; the oldest files are deleted when it is full.

    Parameters
    ----------
    folder : str
        Data folder; created if it is missing.
    max_bytes : int, optional
        Maximum size of all files together.
    """

    def __init__(
        self, folder: str, max_bytes: int = DEFAULT_MAX_BYTES
    ) -> None:
        self.folder = pathlib.Path(folder) / 'steps'
        self.folder.mkdir(parents=True, exist_ok=True)
        self.max_bytes = max_bytes

    def put(self, digest: str, data: bytes) -> bool:
        """Store the bytes; return False if they do not fit.

        The file is written under a temporary name and renamed, so that
        readers never see a part of it.
        """
        if len(data) > self.max_bytes or not digest.isalnum():
            return False
        self.free_space(len(data))
        partial = self.folder / f'{digest}.part'
        partial.write_bytes(data)
        partial.replace(self.folder / digest)
        return True

    def get(self, digest: str) -> bytes | None:
        """Return the stored bytes, or ``None`` if there are none."""
        if not digest.isalnum():
            return None
        try:
            return (self.folder / digest).read_bytes()
        except FileNotFoundError:
            return None

    def drop(self, digest: str) -> None:
        """Delete the stored bytes, if there are any."""
        if digest.isalnum():
            (self.folder / digest).unlink(missing_ok=True)

    def free_space(self, size: int) -> None:
        """Delete the oldest files until `size` more bytes fit."""
        files = sorted(
            self.folder.iterdir(), key=lambda path: path.stat().st_mtime
        )
        used = sum(path.stat().st_size for path in files)
        while files and used + size > self.max_bytes:
            oldest = files.pop(0)
            used -= oldest.stat().st_size
            oldest.unlink(missing_ok=True)
