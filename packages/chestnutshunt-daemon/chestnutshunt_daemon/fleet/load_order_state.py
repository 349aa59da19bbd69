"""What is known of the orders to one start of a target."""

import attrs

__all__ = ['LoadOrderState']


@attrs.define
class LoadOrderState:
    """What is known of the orders to one start of a target.

    Attributes
    ----------
    accepted_orders : int
        Orders that it has accepted; -1 if unknown.
    model, version : str, int
        Last order.
    loaded_at : float
        Monotonic time in seconds until which it is loading.
    retry_at : float
        Monotonic time in seconds before which it is left alone.
    """

    accepted_orders: int = -1
    model: str = ''
    version: int = 0
    loaded_at: float = 0.0
    retry_at: float = 0.0
