"""Progress of the load orders to one incarnation of a target."""

import attrs

__all__ = ['LoadOrderState']


@attrs.define
class LoadOrderState:
    """Progress of the load orders to one incarnation of a target.

    Attributes
    ----------
    accepted_orders : int
        Orders that the target has accepted; -1 if unknown.
    model, version : str, int
        Model and weight version of the last order.
    loaded_at : float
        Monotonic time in seconds at which the load counts as complete; 0 if
        none is in progress.
    retry_at : float
        Monotonic time in seconds before which no order is sent.
    """

    accepted_orders: int = -1
    model: str = ''
    version: int = 0
    loaded_at: float = 0.0
    retry_at: float = 0.0
