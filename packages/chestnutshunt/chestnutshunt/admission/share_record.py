"""Stored division of a workspace's limit among the daemons."""

from typing import Any

import attrs

from chestnutshunt.admission import share
from chestnutshunt.admission import water_fill

__all__ = ['SHARE_KIND', 'ShareRecord']

SHARE_KIND = 'share'

DIMENSIONS = tuple(item.name for item in attrs.fields(share.Share))


@attrs.frozen
class ShareRecord:
    """Holdings and demands of the daemons for one workspace.

    Attributes
    ----------
    holdings : dict of str to Share
        Share that each owner may use.
    demands : dict of str to Share
        Demand that each owner last published.
    """

    holdings: dict[str, share.Share] = attrs.field(factory=dict)
    demands: dict[str, share.Share] = attrs.field(factory=dict)

    def encode(self) -> dict[str, Any]:
        """Return the stored JSON form."""
        return {
            'holdings': {k: v.encode() for k, v in self.holdings.items()},
            'demands': {k: v.encode() for k, v in self.demands.items()},
        }

    @classmethod
    def decode(cls, value: dict[str, Any]) -> 'ShareRecord':
        """Build a record from its stored JSON form."""
        return cls(
            {k: share.Share(*v) for k, v in value['holdings'].items()},
            {k: share.Share(*v) for k, v in value['demands'].items()},
        )

    def total(self, name: str) -> float:
        """Return the sum of all holdings in one dimension."""
        return sum(getattr(item, name) for item in self.holdings.values())

    def fair_share(self, owner: str, limit: share.Share) -> share.Share:
        """Return the max-min fair share of a daemon, given all demands."""
        parts = {}
        for name in DIMENSIONS:
            wanted = {k: getattr(v, name) for k, v in self.demands.items()}
            allocations = water_fill.water_fill(getattr(limit, name), wanted)
            parts[name] = allocations.get(owner, 0.0)
        return share.Share(**parts)

    def usable(self, owner: str, limit: share.Share) -> share.Share:
        """Return the share that a daemon may use now.

        If the limit was lowered below the sum of the holdings, they are
        scaled down, so that the sum is within the limit at once.
        """
        holding = self.holdings.get(owner, share.Share())
        parts = {}
        for name in DIMENSIONS:
            total = self.total(name)
            allowed = getattr(limit, name)
            scale = min(allowed / total, 1.0) if total else 1.0
            parts[name] = getattr(holding, name) * scale
        return share.Share(**parts)

    def with_demand(self, owner: str, demand: share.Share) -> 'ShareRecord':
        """Return the record with a new demand of one daemon."""
        return attrs.evolve(self, demands={**self.demands, owner: demand})

    def without_owners(self, gone: set[str]) -> 'ShareRecord':
        """Return the record without the given owners."""
        return ShareRecord(
            {k: v for k, v in self.holdings.items() if k not in gone},
            {k: v for k, v in self.demands.items() if k not in gone},
        )

    def rebalanced(
        self, owner: str, limit: share.Share, least: share.Share
    ) -> 'ShareRecord':
        """Return the record with one holding moved to its fair share.

        A holding grows only by what no daemon holds, and shrinks to the fair
        share but not below `least`, which is still in use.
        """
        fair = self.fair_share(owner, limit)
        holding = self.holdings.get(owner, share.Share())
        parts = {}
        for name in DIMENSIONS:
            own = getattr(holding, name)
            free = max(getattr(limit, name) - self.total(name), 0.0)
            wanted = max(getattr(fair, name), getattr(least, name))
            if wanted > own:
                parts[name] = own + min(wanted - own, free)
            else:
                parts[name] = wanted
        holdings = {**self.holdings, owner: share.Share(**parts)}
        return attrs.evolve(self, holdings=holdings)
