"""What is agreed on a step before it is handed over."""

from typing import Any

import attrs

__all__ = ['STEP_KIND', 'Manifest', 'manifest_name']

STEP_KIND = 'step'


@attrs.frozen
class Manifest:
    """Digest of a step and where its bytes are.

    Attributes
    ----------
    digest : str
        Digest of the bytes.
    size : int
        Number of bytes.
    holders : tuple of str
        Peer addresses of the daemons that keep the bytes.
    fence : int
        Fencing number of the coordinator that wrote it.
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
    """Return the platform name of a step's manifest."""
    return f'{run}/{step:012d}'
