"""An HTTP request read from a caller."""

import socket

import attrs

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
        Complete body.
    connection : socket
        Connection that the request was read from.
    arrived_at : float
        Monotonic time in seconds at which the request had been read.
    """

    method: str
    target: str
    headers: dict[str, str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    connection: socket.socket
    arrived_at: float

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition('?')[0]

    @property
    def host(self) -> str:
        """Value of the Host header."""
        return self.headers.get('host', '')
