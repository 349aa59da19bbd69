"""An HTTP request read from a caller."""

from collections.abc import Callable
import socket

import attrs

from chestnutshunt_daemon.callers import body_parts

__all__ = ['CallerRequest']


@attrs.frozen(eq=False)
class CallerRequest:
    """Method, target, headers and body of one request.

    Attributes
    ----------
    method : str
        HTTP method.
    target : str
        Path and query as sent.
    headers : dict of str to str
        Values by header name in lower case.
    body : bytes
        Complete body; empty if it is in `parts`.
    parts : BodyParts or None
        Body of a request that submits a job.
    connection : socket
        Connection that the request was read from.
    arrived_at : float
        Monotonic time in seconds at which the request had been read.
    cover_answer, cover_job : callable
        Hold memory for a response, or for the items of a job, of so many
        bytes; raise `OutOfMemory`.
    """

    method: str
    target: str
    headers: dict[str, str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    connection: socket.socket
    arrived_at: float
    parts: body_parts.BodyParts | None = None
    cover_answer: Callable[[int], None] = lambda size: None
    cover_job: Callable[[int], None] = lambda size: None

    def whole_body(self) -> bytes:
        """Return the body, also that of a job; it can't be decoded then."""
        return self.body if self.parts is None else self.parts.read()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition('?')[0]

    @property
    def host(self) -> str:
        """Value of the Host header."""
        return self.headers.get('host', '')
