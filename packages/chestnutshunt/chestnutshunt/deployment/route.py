"""How requests of one host and path prefix are served."""

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
        Name for logs.
    host : str
        Host that callers name, in lower case.
    prefix : str
        Start of the path, with a slash at both ends.
    kind : RouteKind
        What may be repeated.
    timeout_s : float
        Longest time a caller is kept waiting, in seconds.
    goal_s : float
        Time in seconds within which an answer is on time.
    max_attempts : int
        Targets at most that one request, or failed runs that one item, may
        reach.
    priority : int
        Rank; 0 goes first.
    open : bool
        True if no key is needed.
    resumable : bool
        True if a stream may go on at another target.
    single_version : bool
        True if one weight version has to produce a whole result.
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
        """Return the service at a point between 0 and 1 of the split."""
        total = sum(item.weight for item in self.destinations)
        rest = point * total
        for item in self.destinations:
            rest -= item.weight
            if rest < 0:
                return item.service
        return self.destinations[-1].service if self.destinations else ''
