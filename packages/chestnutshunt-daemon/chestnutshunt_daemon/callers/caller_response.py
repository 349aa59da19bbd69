"""An answer to a caller."""

from collections.abc import Generator

import attrs

__all__ = ['CallerResponse']


@attrs.frozen(eq=False)
class CallerResponse:
    """Status, headers and body.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers beside the length.
    body : bytes
        Whole body; ignored if there is a stream.
    stream : generator of bytes or None
        Body that is passed on as it arrives. If it raises, the connection is
        closed without the end of the body.
    """

    status: int
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = attrs.field(default=b'', repr=False)
    stream: Generator[bytes, None, None] | None = None
