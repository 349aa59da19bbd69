"""Max-min fair allocation by water filling."""

from collections.abc import Mapping

__all__ = ['water_fill']


def water_fill(
    amount: float, demands: Mapping[str, float]
) -> dict[str, float]:
    """Allocate an amount by max-min fairness.

    Nobody gets more than their demand, except that the rest that nobody
    demands is divided evenly.

    Parameters
    ----------
    amount : float
        Amount to allocate.
    demands : mapping of str to float
        Demand of each participant.

    Returns
    -------
    dict of str to float
        Allocations, whose sum is at most `amount`.
    """
    allocations: dict[str, float] = {}
    remaining = amount
    ordered = sorted(demands, key=lambda name: (demands[name], name))
    for index, name in enumerate(ordered):
        even_part = remaining / (len(ordered) - index)
        allocations[name] = min(demands[name], even_part)
        remaining -= allocations[name]
    if ordered and remaining > 0:
        extra = remaining / len(ordered)
        allocations = {
            name: part + extra for name, part in allocations.items()
        }
    return allocations
