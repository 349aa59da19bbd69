"""State of a peer as of its last heartbeat."""

import attrs

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
        Monotonic time in seconds at which the heartbeat arrived.
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
