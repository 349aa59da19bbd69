"""An order to load a weight version."""

import attrs

__all__ = ['LoadOrder']


@attrs.frozen
class LoadOrder:
    """Order to a target, sent by the daemon that holds the weights duty.

    Attributes
    ----------
    model : str
        Model whose weights are loaded.
    version : int
        Version to load.
    finish_running : bool
        True if running requests finish with the old version; otherwise they
        continue with the new one.
    holder : str
        Daemon that sends the order.
    fence : int
        Fencing number of the holder's lease.
    accepted_before : int
        Number of orders that the target has accepted before this one. The
        target refuses an order with another number, so that one that arrives
        late has no effect.
    """

    model: str
    version: int
    finish_running: bool
    holder: str
    fence: int
    accepted_before: int
