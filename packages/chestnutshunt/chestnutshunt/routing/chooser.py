"""Chooses a target: affinity while it is cheap, otherwise two choices."""

from collections.abc import Iterable
from collections.abc import Sequence
import random

import attrs

from chestnutshunt.routing import load_view
from chestnutshunt.routing import rendezvous
from chestnutshunt.routing import target

__all__ = ['Chooser', 'Place']

AFFINITY_LOAD_RATIO = 1.25
"""Load over the mean at which a request leaves its preferred target."""

MAX_EJECTED_RATIO = 0.5


@attrs.frozen
class Place:
    """Where a daemon stands.

    Attributes
    ----------
    datacentre : str
        Its own data centre.
    regions : dict of str to str
        Region of each data centre.
    """

    datacentre: str
    regions: dict[str, str] = attrs.field(factory=dict)

    def distance(self, datacentre: str) -> int:
        """Return 0 here, 1 in the same region, 2 across regions."""
        if datacentre == self.datacentre:
            return 0
        own = self.regions.get(self.datacentre)
        return 1 if own and own == self.regions.get(datacentre) else 2


class Chooser:
    """Picks targets from a load view.

    Parameters
    ----------
    loads : LoadView
        Requests in flight and ejections.
    rng : random.Random
        Source of the two choices.
    """

    def __init__(self, loads: load_view.LoadView, rng: random.Random) -> None:
        self.loads = loads
        self.rng = rng

    def choose(
        self,
        candidates: Iterable[target.Target],
        place: Place,
        limit: int,
        tried: frozenset[str] = frozenset(),
        affinity: str = '',
    ) -> target.Target | None:
        """Choose a target, ``None`` if none may be given work.

        Parameters
        ----------
        candidates : iterable of Target
            Targets of the service.
        place : Place
            Where this daemon stands; the nearest with room are preferred.
        limit : int
            Requests in flight that a target should not exceed.
        tried : frozenset of str
            Targets that have failed this request.
        affinity : str
            Prefix whose cache would help; empty for none.
        """
        running = [
            item
            for item in candidates
            if item.state == 'running' and item.name not in tried
        ]
        usable = self.without_ejected(running)
        for distance in range(3):
            near = [
                item
                for item in usable
                if place.distance(item.datacentre) <= distance
                and self.loads.in_flight(item.name) < limit
            ]
            if near:
                return self.pick(near, affinity)
        return self.pick(usable, '') if usable else None

    def without_ejected(
        self, running: Sequence[target.Target]
    ) -> Sequence[target.Target]:
        """Leave out ejected targets unless that would be too many."""
        healthy = [
            item
            for item in running
            if self.loads.load_of(item.name).circuit_breaker.allows_requests()
        ]
        if len(healthy) >= len(running) * (1 - MAX_EJECTED_RATIO):
            return healthy
        return running

    def pick(
        self, near: Sequence[target.Target], affinity: str
    ) -> target.Target:
        """Pick by affinity with bounded load, or the better of two."""
        if affinity:
            preferred = self.affine_target(near, affinity)
            if preferred is not None:
                return preferred
        pair = self.rng.sample(near, min(2, len(near)))
        return min(pair, key=lambda item: self.loads.in_flight(item.name))

    def affine_target(
        self, near: Sequence[target.Target], affinity: str
    ) -> target.Target | None:
        """Return the affine target unless it is clearly the busiest."""
        by_name = {item.name: item for item in near}
        total = sum(self.loads.in_flight(name) for name in by_name)
        bound = AFFINITY_LOAD_RATIO * total / len(near) + 1
        first = rendezvous.rank(affinity, by_name)[0]
        if self.loads.in_flight(first) <= bound:
            return by_name[first]
        return None
