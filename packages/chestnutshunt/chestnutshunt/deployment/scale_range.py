"""Between which numbers a service's targets may be ordered."""

import attrs

__all__ = ['ScaleRange']


@attrs.frozen
class ScaleRange:
    """Bounds and prices of a service's targets in each data centre.

    Attributes
    ----------
    minimum, maximum : int
        Targets in one data centre, of both kinds together.
    start_s : float
        Seconds until a new target serves.
    reclaimable_price_ratio : float
        Price of a reclaimable target relative to a lasting one.
    prices : dict of str to float
        Price of a target for a second, by data centre.
    """

    minimum: int
    maximum: int
    start_s: float
    reclaimable_price_ratio: float
    prices: dict[str, float]
