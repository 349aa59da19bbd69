"""How requests to a host and path prefix are served."""

import attrs

from chestnutshunt.deployment import destination
from chestnutshunt.deployment import route_kind

__all__ = ['Route']


@attrs.frozen
class Route:
    """One route of a deployment.

    Attributes
    ----------
    name : str
        Name used in logs.
    host : str
        Host that requests name, in lower case.
    prefix : str
        Path prefix, with a slash at both ends.
    kind : RouteKind
        Whether requests may be repeated.
    timeout_s : float
        Maximum time in seconds until a request is answered.
    goal_s : float
        Latency goal in seconds.
    max_attempts : int
        Maximum targets that a request may reach, or maximum failed runs of
        an item.
    priority : int
        Priority; 0 is the highest.
    open : bool
        True if no key is needed.
    resumable : bool
        True if another target may resume an interrupted stream.
    single_version : bool
        True if a single weight version must generate a whole result.
    due_s : float
        Seconds after submission when a job's results are due.
    item_lifetime_s : float
        Seconds after submission when an item may be given up; 0 for never.
    destinations : tuple of Destination
        Services that serve the route.
    """

    name: str
    host: str
    prefix: str
    kind: route_kind.RouteKind
    timeout_s: float = 30.0
    goal_s: float = 1.0
    max_attempts: int = 1
    priority: int = 5
    open: bool = False
    resumable: bool = False
    single_version: bool = False
    due_s: float = 0.0
    item_lifetime_s: float = 0.0
    destinations: tuple[destination.Destination, ...] = ()

    def service_for(self, point: float) -> str:
        """Return the service at a point from 0 to 1 of the weighted split.

        Empty if the route has no destinations.
        """
        total = sum(item.weight for item in self.destinations)
        remaining = point * total
        for item in self.destinations:
            remaining -= item.weight
            if remaining < 0:
                return item.service
        return self.destinations[-1].service if self.destinations else ''
