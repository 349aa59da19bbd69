"""Parsed request of a caller."""

import attrs

from chestnutshunt.config import service_settings

__all__ = ['CallerRequest']


@attrs.frozen
class CallerRequest:
    """A validated request to a service.

    Attributes
    ----------
    id : str
        Id assigned by this daemon, for logs and responses.
    service : str
        Name of the service.
    settings : ServiceSettings
        Settings of the service when the request arrived.
    method, path : str
        HTTP method and path at the target, including the query.
    headers : dict of str to str
        Headers to forward, without credentials.
    body : bytes
        Request body.
    deadline : float
        Monotonic time in seconds by which the response must be complete.
    identity_header : str
        Value of the service's identity header, empty if not sent.
    """

    id: str
    service: str
    settings: service_settings.ServiceSettings
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)
    deadline: float
    identity_header: str = ''

    @property
    def call(self) -> str:
        """Method and path without the query."""
        return f'{self.method} {self.path.partition("?")[0]}'
