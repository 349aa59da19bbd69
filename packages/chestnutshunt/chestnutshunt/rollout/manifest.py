"""Manifest of a step, stored before the step is handed to the trainer."""

from typing import Any

import attrs

__all__ = ['STEP_KIND', 'Manifest', 'manifest_name']

STEP_KIND = 'step'


@attrs.frozen
class Manifest:
    """Digest of an encoded step and the daemons that hold its bytes.

    Attributes
    ----------
    digest : str
        Digest of the encoded step.
    size : int
        Size in bytes.
    holders : tuple of str
        Peer addresses of the daemons that hold the bytes.
    fence : int
        Fencing number of the coordinator that wrote the manifest.
    """

    digest: str
    size: int
    holders: tuple[str, ...]
    fence: int

    def encode(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {**attrs.asdict(self), 'holders': list(self.holders)}

    @classmethod
    def decode(cls, value: dict[str, Any]) -> 'Manifest':
        """Build a manifest from its JSON form."""
        return cls(
            str(value['digest']),
            int(value['size']),
            tuple(value['holders']),
            int(value['fence']),
        )


def manifest_name(run: str, step: int) -> str:
    """Return the object name of a step's manifest."""
    return f'{run}/{step:012d}'
