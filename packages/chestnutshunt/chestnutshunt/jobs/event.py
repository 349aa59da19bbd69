"""One event of a server-sent event stream."""

import attrs

__all__ = ['Event']


@attrs.frozen
class Event:
    """A complete event.

    Attributes
    ----------
    id : int
        Event id; ids increase along a stream.
    data : str
        Values of the ``data`` fields, joined by line feeds.
    other_lines : tuple of str
        Lines with any other field, such as the weight version.
    raw : bytes
        The event's bytes including the empty line that ends it, as they are
        passed on to the caller.
    """

    id: int
    data: str
    other_lines: tuple[str, ...] = ()
    raw: bytes = attrs.field(default=b'', repr=False)
