"""Identity of a daemon as published to the others."""

from typing import Any

import attrs

from chestnutshunt.store import stored_object

__all__ = ['MEMBER_KIND', 'Member']

MEMBER_KIND = 'member'


@attrs.frozen
class Member:
    """Identity and addresses of one daemon.

    Attributes
    ----------
    name : str
        Name from its settings.
    incarnation : str
        Unique to each start of the process.
    datacentre : str
        Data centre it runs in.
    address : str
        ``IP:PORT`` of its peer endpoint.
    admin_address : str
        ``IP:PORT`` of its admin endpoint.
    """

    name: str
    incarnation: str
    datacentre: str
    address: str
    admin_address: str = ''

    @property
    def owner(self) -> str:
        """Name and incarnation, as recorded in leases and the ledger."""
        return f'{self.name}/{self.incarnation}'

    def encode(self) -> dict[str, Any]:
        """Return the stored JSON form."""
        return attrs.asdict(self)

    @classmethod
    def decode(cls, stored: stored_object.StoredObject) -> 'Member':
        """Build a member from its stored object."""
        value = stored.value
        return cls(
            name=stored.name,
            incarnation=str(value.get('incarnation', '')),
            datacentre=str(value.get('datacentre', '')),
            address=str(value.get('address', '')),
            admin_address=str(value.get('admin_address', '')),
        )
