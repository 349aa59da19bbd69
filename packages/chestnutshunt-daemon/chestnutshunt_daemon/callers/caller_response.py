"""An HTTP response to a caller."""

from collections.abc import Generator

import attrs

__all__ = ['CallerResponse']


@attrs.frozen(eq=False)
class CallerResponse:
    """Status, headers and body of a response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers except Content-Length.
    body : bytes
        Complete body; ignored if `stream` is set.
    stream : generator of bytes or None
        Body that is sent in chunks as it arrives. If it raises, the
        connection is closed without the last chunk.
    is_shared : bool
        Whether the body is kept for other purposes anyway, so that no memory
        is held for it.
    """

    status: int
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = attrs.field(default=b'', repr=False)
    stream: Generator[bytes, None, None] | None = None
    is_shared: bool = False
