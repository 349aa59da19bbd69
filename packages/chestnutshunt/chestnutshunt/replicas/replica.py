"""A target as it describes itself in its registration."""

import attrs

__all__ = ['Replica']


@attrs.frozen
class Replica:
    """One start of a target.

    Attributes
    ----------
    id : str
        Identifies this start; a request names it so that no other process at
        the same address runs it.
    service : str
        Service it belongs to.
    address : str
        ``IP:PORT`` it listens on.
    datacentre : str
        Where it runs.
    slots : int
        Requests it works on at one time.
    leaving : bool
        True once it has announced its end.
    versions : dict of str to int
        Weight version of each model that it holds.
    reclaimable : bool
        True if the platform may reclaim it.
    started_ms : int
        Time of its start in Unix milliseconds; tells two starts under one id
        apart.
    """

    id: str
    service: str
    address: str
    datacentre: str
    slots: int = 1
    leaving: bool = False
    versions: dict[str, int] = attrs.field(factory=dict)
    reclaimable: bool = False
    started_ms: int = 0

    @property
    def start_key(self) -> str:
        """Key of this start."""
        return f'{self.id}/{self.started_ms}'
