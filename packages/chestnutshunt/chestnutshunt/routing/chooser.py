"""Target selection: bounded-load affinity, else power of two choices."""

from collections.abc import Iterable
from collections.abc import Sequence
import random

import attrs

from chestnutshunt.routing import load_view
from chestnutshunt.routing import rendezvous
from chestnutshunt.routing import target

__all__ = ['Chooser', 'Place']

# Ratio to the mean load above which the affine target is not chosen.
AFFINITY_LOAD_RATIO = 1.25

MAX_EJECTED_RATIO = 0.5


@attrs.frozen
class Place:
    """Data centre of a daemon and the regions of all data centres.

    Attributes
    ----------
    datacentre : str
        Data centre of the daemon.
    regions : dict of str to str
        Region of each data centre.
    """

    datacentre: str
    regions: dict[str, str] = attrs.field(factory=dict)

    def distance(self, datacentre: str) -> int:
        """Return 0 for this data centre, 1 for its region, 2 for others."""
        if datacentre == self.datacentre:
            return 0
        own = self.regions.get(self.datacentre)
        return 1 if own and own == self.regions.get(datacentre) else 2


class Chooser:
    """Selects targets by distance, load, ejection and affinity.

    Parameters
    ----------
    loads : LoadView
        Requests in flight and circuit breakers of the targets.
    rng : random.Random
        Random source of the two choices.
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
        """Choose a target, or return ``None`` if none is available.

        If all targets are at the limit, the limit is ignored.

        Parameters
        ----------
        candidates : iterable of Target
            Targets of the service.
        place : Place
            Location of this daemon; the nearest targets below the limit are
            preferred.
        limit : int
            Maximum number of requests in flight at a target.
        tried : frozenset of str
            Names of the targets that have already failed this request.
        affinity : str
            Key of the cached prefix that the request can reuse; empty for
            none.
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
        """Leave out ejected targets, or none if too many are ejected."""
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
        """Return the affine target, or the less loaded of two random ones."""
        if affinity:
            affine = self.affine_target(near, affinity)
            if affine is not None:
                return affine
        pair = self.rng.sample(near, min(2, len(near)))
        return min(pair, key=lambda item: self.loads.in_flight(item.name))

    def affine_target(
        self, near: Sequence[target.Target], affinity: str
    ) -> target.Target | None:
        """Return the affine target unless its load exceeds the bound."""
        by_name = {item.name: item for item in near}
        total = sum(self.loads.in_flight(name) for name in by_name)
        bound = AFFINITY_LOAD_RATIO * total / len(near) + 1
        first = rendezvous.rank(affinity, by_name)[0]
        if self.loads.in_flight(first) <= bound:
            return by_name[first]
        return None
