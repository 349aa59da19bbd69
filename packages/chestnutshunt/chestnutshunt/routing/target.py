"""Target as listed by the platform."""

import attrs

from chestnutshunt.store import stored_object

__all__ = ['TARGET_KIND', 'Target']

TARGET_KIND = 'target'


@attrs.frozen
class Target:
    """Back end of a service.

    Attributes
    ----------
    name : str
        Name on the platform.
    service : str
        Name of its service.
    address : str
        ``IP:PORT``.
    datacentre : str
        Data centre it runs in.
    state : str
        ``running``, ``leaving``, ``starting`` or ``stopped``.
    cheap : bool
        True if the platform may reclaim it at short notice.
    fenced : bool
        True if it rejects orders with an old fencing number.
    """

    name: str
    service: str
    address: str
    datacentre: str
    state: str = 'running'
    cheap: bool = False
    fenced: bool = True

    @classmethod
    def decode(cls, stored: stored_object.StoredObject) -> 'Target':
        """Build a target from its stored object."""
        value = stored.value
        return cls(
            name=stored.name,
            service=str(value.get('service', '')),
            address=str(value.get('address', '')),
            datacentre=str(value.get('datacentre', '')),
            state=str(value.get('state', 'running')),
            cheap=bool(value.get('cheap', False)),
            fenced=bool(value.get('fenced', True)),
        )
