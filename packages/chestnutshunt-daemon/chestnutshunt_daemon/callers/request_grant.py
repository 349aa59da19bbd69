"""The outcome of the admission of a request."""

import attrs

from chestnutshunt.deployment import route

__all__ = ['RequestGrant']


@attrs.frozen
class RequestGrant:
    """Route and workspace that a request was admitted to.

    Attributes
    ----------
    route : Route
        Route for the host and path.
    workspace : str
        Workspace of the API key; empty on an open route.
    version : int
        Version of the configuration that was used.
    """

    route: route.Route
    workspace: str
    version: int
