"""One event of a stream."""

import attrs

__all__ = ['Event']


@attrs.frozen
class Event:
    """A whole event.

    Attributes
    ----------
    id : int
        Its number; the events of a stream have growing ones.
    data : str
        Its data lines, joined by line feeds.
    other_lines : tuple of str
        Lines that are no part of either.
    raw : bytes
        The event as it is passed on, with its end.
    """

    id: int
    data: str
    other_lines: tuple[str, ...] = ()
    raw: bytes = attrs.field(default=b'', repr=False)
