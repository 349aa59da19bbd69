"""Limits on the requests and connections of callers."""

import attrs

__all__ = ['CallerLimits']


@attrs.frozen
class CallerLimits:
    """Limits that apply to every caller.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of a header section and of a body, in bytes.
    header_timeout_s, idle_timeout_s : float
        Maximum seconds that reading a header section may take and that a
        connection may stay idle.
    """

    header_bytes: int = 65_536
    body_bytes: int = 67_108_864
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0
