"""Location of a daemon among the data centres."""

import attrs

__all__ = ['Place']


@attrs.frozen
class Place:
    """Data centre of a daemon, and the region of each data centre.

    Attributes
    ----------
    datacentre : str
        Data centre of the daemon.
    regions : dict of str to str
        Region by data centre.
    """

    datacentre: str
    regions: dict[str, str] = attrs.field(factory=dict)

    @property
    def region(self) -> str:
        """Region of the daemon; empty if it is unknown."""
        return self.regions.get(self.datacentre, '')
