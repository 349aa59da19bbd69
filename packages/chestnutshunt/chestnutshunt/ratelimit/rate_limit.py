"""The rate limit that a target has asked for."""

import attrs

__all__ = ['RateLimit']


@attrs.frozen
class RateLimit:
    """What a target last said about the rate of requests that it takes.

    Attributes
    ----------
    rate : float or None
        Requests a second from all daemons together; ``None`` if the target
        no longer limits them.
    observed_at : float
        Monotonic time in seconds of the response that said so.
    """

    rate: float | None
    observed_at: float
