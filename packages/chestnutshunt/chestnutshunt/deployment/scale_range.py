"""Limits on how many targets of a service may be ordered."""

import attrs

__all__ = ['ScaleRange']


@attrs.frozen
class ScaleRange:
    """Limits and prices of the targets of a service.

    Attributes
    ----------
    minimum, maximum : int
        Limits on the targets in one data centre, reclaimable and on-demand
        ones together.
    start_s : float
        Seconds until a new target is ready to serve.
    reclaimable_price_ratio : float
        Price of a reclaimable target relative to an on-demand one.
    prices : dict of str to float
        Price of a target per second, by data centre.
    """

    minimum: int
    maximum: int
    start_s: float
    reclaimable_price_ratio: float
    prices: dict[str, float]
