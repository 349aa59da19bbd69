"""State of a peer as of its last heartbeat."""

import attrs

from chestnutshunt.weights import model_demand

__all__ = ['PeerInfo']


@attrs.frozen
class PeerInfo:
    """State of a peer as of its last heartbeat.

    Attributes
    ----------
    name, incarnation : str
        Name of the daemon and id of its current process.
    datacentre, address : str
        Its data centre, and the ``IP:PORT`` on which it serves peers.
    leaving : bool
        True once it is shutting down.
    holder : bool
        True if it holds the duties.
    jobs : frozenset of str
        Ids of the jobs that it runs.
    store_read_s : float
        Seconds that its last read of the store took; negative if it failed.
    heard_at : float
        Monotonic time in seconds at which the heartbeat arrived, here or at
        the hub that passed its content on.
    hub : bool
        Whether it counts itself as a hub.
    relayed : bool
        Whether a hub passed this on; the daemon itself was not heard.
    demands : dict of str to ModelDemand
        Demand of the jobs that it runs, by model.
    """

    name: str
    incarnation: str
    datacentre: str
    address: str
    leaving: bool
    holder: bool
    jobs: frozenset[str]
    store_read_s: float
    heard_at: float
    hub: bool = True
    relayed: bool = False
    demands: dict[str, model_demand.ModelDemand] = attrs.field(factory=dict)

    @property
    def source(self) -> str:
        """Name and incarnation, under which its usage counts are kept."""
        return f'{self.name}/{self.incarnation}'
