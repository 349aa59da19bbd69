"""How a workspace's limit is divided among daemons, as the platform has it."""

from typing import Any

import attrs

from chestnutshunt.admission import share
from chestnutshunt.admission import water_fill

__all__ = ['SHARE_KIND', 'ShareRecord']

SHARE_KIND = 'share'

DIMENSIONS = tuple(item.name for item in attrs.fields(share.Share))


@attrs.frozen
class ShareRecord:
    """Holdings and demands of the daemons.

    Attributes
    ----------
    holdings : dict of str to Share
        What each daemon, by owner, may use.
    demands : dict of str to Share
        What each daemon last said it could use.
    """

    holdings: dict[str, share.Share] = attrs.field(factory=dict)
    demands: dict[str, share.Share] = attrs.field(factory=dict)

    def encode(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            'holdings': {k: v.encode() for k, v in self.holdings.items()},
            'demands': {k: v.encode() for k, v in self.demands.items()},
        }

    @classmethod
    def decode(cls, value: dict[str, Any]) -> 'ShareRecord':
        """Build a record from its JSON form."""
        return cls(
            {k: share.Share(*v) for k, v in value['holdings'].items()},
            {k: share.Share(*v) for k, v in value['demands'].items()},
        )

    def total(self, name: str) -> float:
        """Return the sum of all holdings in one dimension."""
        return sum(getattr(item, name) for item in self.holdings.values())

    def fair_share(self, owner: str, limit: share.Share) -> share.Share:
        """Return what a daemon should hold, given all demands."""
        parts = {}
        for name in DIMENSIONS:
            wanted = {k: getattr(v, name) for k, v in self.demands.items()}
            filled = water_fill.water_fill(getattr(limit, name), wanted)
            parts[name] = filled.get(owner, 0.0)
        return share.Share(**parts)

    def usable(self, owner: str, limit: share.Share) -> share.Share:
        """Return what a daemon may use now.

        If a limit has been lowered below what is held, each daemon uses its
        holding in proportion, so that the sum is within the limit at once.
        """
        held = self.holdings.get(owner, share.Share())
        parts = {}
        for name in DIMENSIONS:
            total = self.total(name)
            allowed = getattr(limit, name)
            scale = min(allowed / total, 1.0) if total else 1.0
            parts[name] = getattr(held, name) * scale
        return share.Share(**parts)

    def with_demand(self, owner: str, demand: share.Share) -> 'ShareRecord':
        """Return the record with a daemon's new demand."""
        return attrs.evolve(self, demands={**self.demands, owner: demand})

    def without_owners(self, gone: set[str]) -> 'ShareRecord':
        """Return the record without some daemons."""
        return ShareRecord(
            {k: v for k, v in self.holdings.items() if k not in gone},
            {k: v for k, v in self.demands.items() if k not in gone},
        )

    def rebalanced(
        self, owner: str, limit: share.Share, least: share.Share
    ) -> 'ShareRecord':
        """Return the record with a daemon's holding moved to its fair part.

        What is taken is free; what is above the fair part is given back, but
        not below `least`, which is still in use.
        """
        fair = self.fair_share(owner, limit)
        held = self.holdings.get(owner, share.Share())
        parts = {}
        for name in DIMENSIONS:
            own = getattr(held, name)
            free = max(getattr(limit, name) - self.total(name), 0.0)
            wanted = max(getattr(fair, name), getattr(least, name))
            if wanted > own:
                parts[name] = own + min(wanted - own, free)
            else:
                parts[name] = wanted
        holdings = {**self.holdings, owner: share.Share(**parts)}
        return attrs.evolve(self, holdings=holdings)
