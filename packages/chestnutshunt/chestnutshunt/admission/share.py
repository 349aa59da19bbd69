"""Amounts of the resources that workspaces are limited in."""

import attrs

__all__ = ['Share']


@attrs.frozen
class Share:
    """Rates and concurrency, as a limit, a holding or a demand.

    Attributes
    ----------
    requests : float
        Requests a second.
    tokens : float
        Tokens a second.
    concurrency : float
        Requests in flight.
    """

    requests: float = 0.0
    tokens: float = 0.0
    concurrency: float = 0.0

    def encode(self) -> list[float]:
        """Return the stored form: the fields in order, to 3 decimals."""
        return [round(x, 3) for x in attrs.astuple(self)]
