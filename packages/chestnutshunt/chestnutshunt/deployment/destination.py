"""A service that receives a share of the requests of a route."""

import attrs

__all__ = ['Destination']


@attrs.frozen
class Destination:
    """A service and its weight in the split of a route.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other destinations of the route.
    """

    service: str
    weight: float = 1.0
