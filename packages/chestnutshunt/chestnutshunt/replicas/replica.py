"""Registration of a target."""

import attrs

from chestnutshunt.streams import stream_origin

__all__ = ['Replica']


@attrs.frozen
class Replica:
    """A target process as it describes itself in its registration.

    Attributes
    ----------
    id : str
        Instance id; requests name it, so that no other process at the same
        address runs them.
    service : str
        Service that the target belongs to.
    address : str
        ``IP:PORT`` that the target listens on.
    datacentre : str
        Data centre in which the target runs.
    slots : int
        Number of requests that it handles concurrently.
    leaving : bool
        True once it has announced that it is shutting down.
    versions : dict of str to int
        Weight version by model.
    reclaimable : bool
        True if the platform may reclaim it.
    started_ms : int
        Start time in Unix milliseconds; distinguishes two processes with the
        same id.
    software : str
        Version of the program that the target runs; unrelated to the versions
        of its weights.
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
    software: str = ''

    @property
    def start_key(self) -> str:
        """Key that is unique to this process."""
        return f'{self.id}/{self.started_ms}'

    @property
    def origin(self) -> stream_origin.StreamOrigin:
        """Origin of the streams that this target generates."""
        return stream_origin.StreamOrigin(self.service, self.software)
