"""Permits that were issued to a daemon for one target."""

import attrs

__all__ = ['PermitGrant']


@attrs.frozen
class PermitGrant:
    """Permits for a target process, and what the issuer knows of its limit.

    Attributes
    ----------
    start_key : str
        Key of the target process.
    count : int
        Number of requests that may be sent.
    retry_s : float
        Seconds after which more may be available.
    rate : float or None
        Rate limit of the target; ``None`` if it has none any more.
    age_s : float
        Seconds since the response that said so.
    """

    start_key: str
    count: int
    retry_s: float = 0.0
    rate: float | None = None
    age_s: float = 0.0
