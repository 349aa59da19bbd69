"""Max-min fair division."""

from collections.abc import Mapping

__all__ = ['water_fill']


def water_fill(
    amount: float, demands: Mapping[str, float]
) -> dict[str, float]:
    """Divide an amount so that the smallest part is as large as can be.

    Nobody gets more than the demand, except that what nobody demands is
    divided evenly.

    Parameters
    ----------
    amount : float
        What there is.
    demands : mapping of str to float
        What each one could use.

    Returns
    -------
    dict of str to float
        Parts, which add up to `amount` or less.
    """
    parts: dict[str, float] = {}
    left = amount
    ordered = sorted(demands, key=lambda name: (demands[name], name))
    for place, name in enumerate(ordered):
        even = left / (len(ordered) - place)
        parts[name] = min(demands[name], even)
        left -= parts[name]
    if ordered and left > 0:
        extra = left / len(ordered)
        parts = {name: part + extra for name, part in parts.items()}
    return parts
