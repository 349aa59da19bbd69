"""Status that a model target reports on request."""

import attrs

__all__ = ['TargetReport']


@attrs.frozen
class TargetReport:
    """Status of a target; it may lag by some hundred milliseconds.

    Attributes
    ----------
    versions : dict of str to int
        Loaded weight version of each model.
    loading : bool
        True while the target carries out an order.
    accepted_orders : int
        Number of orders accepted since the target started.
    running, waiting : int
        Number of requests in progress, and in the queue.
    """

    versions: dict[str, int]
    loading: bool
    accepted_orders: int
    running: int = 0
    waiting: int = 0
