"""Registration by which the daemons of a fleet find each other."""

from typing import Any

import attrs

from chestnutshunt.store import stored_object

__all__ = ['FleetMember']


@attrs.frozen
class FleetMember:
    """A registered daemon.

    Attributes
    ----------
    name : str
        Unique name of the daemon.
    address : str
        ``IP:PORT`` on which it serves peers.
    datacentre : str
        Data centre in which it runs.
    capacity : float
        Processor share of its VM, in cores.
    """

    name: str
    address: str
    datacentre: str
    capacity: float = 0.0

    def encode(self) -> dict[str, Any]:
        """Return the stored value; the name is that of the object."""
        return {
            'address': self.address,
            'datacentre': self.datacentre,
            'capacity': self.capacity,
        }

    @classmethod
    def decode(cls, stored: stored_object.StoredObject) -> 'FleetMember':
        """Build a member from its object; raises `KeyError`, `TypeError`."""
        value = stored.value
        return cls(
            stored.name,
            str(value['address']),
            str(value['datacentre']),
            float(value.get('capacity', 0.0)),
        )
