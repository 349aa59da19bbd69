"""What a peer last said of itself."""

import attrs

__all__ = ['PeerInfo']


@attrs.frozen
class PeerInfo:
    """One peer, as of its last message.

    Attributes
    ----------
    name, incarnation : str
        The daemon, and its start.
    datacentre, address : str
        Where it is, and ``IP:PORT`` for peers.
    leaving : bool
        True once it is shutting down.
    holder : bool
        True if it holds the duties.
    jobs : frozenset of str
        Jobs that it runs.
    store_read_s : float
        Seconds a read of the store takes there; negative if it fails.
    heard_at : float
        Monotonic time in seconds of the message.
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
