"""Entry of the ledger."""

import math
from typing import Any

import attrs

__all__ = ['Entry']


@attrs.frozen
class Entry:
    """A claim on a request identity, or the release of a claim.

    Attributes
    ----------
    identity : str
        Digest that identifies the request.
    nonce : str
        Nonce of the execution that claims the request.
    owner : str
        Name and incarnation of the daemon that runs the request.
    address : str
        Peer address of the owner.
    body : str
        Digest of the request body.
    expires_at : float
        Wall time in seconds, rounded up to whole ones, after which the
        identity may be claimed again.
    released : bool
        True if the execution was not sent and never will be.
    """

    identity: str
    nonce: str
    owner: str
    address: str
    body: str
    expires_at: float = attrs.field(converter=math.ceil)
    released: bool = False

    def encode(self) -> list[Any]:
        """Return the stored form: a list of the fields in order."""
        return [
            self.identity,
            self.nonce,
            self.owner,
            self.address,
            self.body,
            self.expires_at,
            int(self.released),
        ]

    @classmethod
    def decode(cls, fields: list[Any]) -> 'Entry':
        """Build an entry from its stored form."""
        return cls(*fields[:6], released=bool(fields[6]))
