"""Permits that a daemon wants for one target."""

import attrs

__all__ = ['PermitWant']


@attrs.frozen
class PermitWant:
    """Permits wanted for a target process, and what is known of its limit.

    Attributes
    ----------
    start_key : str
        Key of the target process.
    count : int
        Number of permits that are wanted.
    spent : int
        Requests that were sent without a permit since the last call.
    rate : float or None
        Rate limit that the target named; ``None`` if it has lifted it.
    age_s : float
        Seconds since the response that said so.
    """

    start_key: str
    count: int
    spent: int = 0
    rate: float | None = None
    age_s: float = 0.0
