"""One line of the ledger."""

import math
from typing import Any

import attrs

__all__ = ['Entry']


@attrs.frozen
class Entry:
    """A claim on an identity, or the release of one.

    Attributes
    ----------
    identity : str
        Digest that identifies the request.
    nonce : str
        Execution that may run the request.
    owner : str
        Daemon that runs it, with its incarnation.
    address : str
        Peer address of the owner.
    body : str
        Digest of the request body.
    expires_at : float
        Wall time in whole seconds, rounded up, after which the identity may
        be used anew.
    released : bool
        True if the execution was never sent and never will be.
    """

    identity: str
    nonce: str
    owner: str
    address: str
    body: str
    expires_at: float = attrs.field(converter=math.ceil)
    released: bool = False

    def encode(self) -> list[Any]:
        """Return the compact JSON form."""
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
        """Build an entry from its JSON form."""
        return cls(*fields[:6], released=bool(fields[6]))
