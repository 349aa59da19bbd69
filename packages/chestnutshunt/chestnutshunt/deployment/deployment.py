"""One version of the configuration of a deployment."""

import functools

import attrs

from chestnutshunt.deployment import caller_limits
from chestnutshunt.deployment import route
from chestnutshunt.deployment import service

__all__ = ['Deployment']


@attrs.frozen(slots=False)
class Deployment:
    """Immutable configuration of routes, services, keys and limits.

    Attributes
    ----------
    version : int
        Version of the configuration; a higher one replaces a lower one.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        Services by name.
    keys : dict of str to str
        Workspace name by key; empty if the deployment has no workspaces, in
        which case `requires_key` is false.
    requires_key : bool
        True if requests to routes that are not open need a key.
    limits : CallerLimits
        Limits on requests and connections of callers.
    """

    version: int
    routes: tuple[route.Route, ...]
    services: dict[str, service.Service]
    keys: dict[str, str] = attrs.field(factory=dict, repr=False)
    requires_key: bool = False
    limits: caller_limits.CallerLimits = caller_limits.CallerLimits()

    @functools.cached_property
    def routes_by_host(self) -> dict[str, tuple[route.Route, ...]]:
        """Routes by host, those with the longest prefix first."""
        grouped: dict[str, list[route.Route]] = {}
        for item in self.routes:
            grouped.setdefault(item.host, []).append(item)
        return {
            host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
            for host, routes in grouped.items()
        }

    def match_route(self, host: str, path: str) -> route.Route | None:
        """Return the route of a host with the longest matching prefix.

        A port in `host` and its case are ignored; ``None`` without a match.
        """
        name = host.lower().partition(':')[0]
        for item in self.routes_by_host.get(name, ()):
            if path.startswith(item.prefix):
                return item
        return None

    def workspace_of(self, key: str) -> str | None:
        """Return the workspace of a key; ``None`` if the key is unknown."""
        return self.keys.get(key) if key else None
