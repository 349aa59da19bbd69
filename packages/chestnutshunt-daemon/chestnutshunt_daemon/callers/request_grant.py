"""What a request has been admitted to."""

import attrs

from chestnutshunt.deployment import route

__all__ = ['RequestGrant']


@attrs.frozen
class RequestGrant:
    """What a request may do.

    Attributes
    ----------
    route : Route
        Route of its host and path.
    workspace : str
        Workspace of its key; empty on an open route.
    version : int
        Version of the configuration that decided it.
    """

    route: route.Route
    workspace: str
    version: int
