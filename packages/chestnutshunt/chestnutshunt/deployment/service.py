"""A group of targets that serve the same requests."""

import attrs

from chestnutshunt.deployment import scale_range

__all__ = ['Service']


@attrs.frozen
class Service:
    """A service of a deployment.

    Attributes
    ----------
    name : str
        Name under which targets register.
    max_connections : int
        Maximum connections that a target accepts in total.
    models : tuple of str
        Models whose weights the targets hold; empty for a plain service.
    scale : ScaleRange or None
        Limits on ordered targets; ``None`` if none may be ordered.
    """

    name: str
    max_connections: int = 0
    models: tuple[str, ...] = ()
    scale: scale_range.ScaleRange | None = None
