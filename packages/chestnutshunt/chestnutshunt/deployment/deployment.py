"""The whole configuration of a deployment, at one version."""

import functools

import attrs

from chestnutshunt.deployment import caller_limits
from chestnutshunt.deployment import route
from chestnutshunt.deployment import service

__all__ = ['Deployment']


@attrs.frozen(slots=False)
class Deployment:
    """What the operator has put in force.

    Attributes
    ----------
    version : int
        Version of the configuration; higher ones replace lower ones.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        Services by name.
    keys : dict of str to str
        Workspace of each key; empty if the deployment has no workspaces, in
        which case `requires_key` is false.
    requires_key : bool
        True if requests need a key unless their route is open.
    limits : CallerLimits
        Bounds on what callers send.
    """

    version: int
    routes: tuple[route.Route, ...]
    services: dict[str, service.Service]
    keys: dict[str, str] = attrs.field(factory=dict, repr=False)
    requires_key: bool = False
    limits: caller_limits.CallerLimits = caller_limits.CallerLimits()

    @functools.cached_property
    def routes_by_host(self) -> dict[str, tuple[route.Route, ...]]:
        """Routes of each host, longest prefix first."""
        found: dict[str, list[route.Route]] = {}
        for item in self.routes:
            found.setdefault(item.host, []).append(item)
        return {
            host: tuple(sorted(items, key=lambda r: -len(r.prefix)))
            for host, items in found.items()
        }

    def match_route(self, host: str, path: str) -> route.Route | None:
        """Return the route with the longest prefix of a path."""
        name = host.lower().partition(':')[0]
        for item in self.routes_by_host.get(name, ()):
            if path.startswith(item.prefix):
                return item
        return None

    def workspace_of(self, key: str) -> str | None:
        """Return the workspace that holds a key."""
        return self.keys.get(key) if key else None
