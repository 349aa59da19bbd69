"""Usage figures of a window, fixed by a conditional create."""

from collections.abc import Mapping
from typing import Any

import attrs

from chestnutshunt.usage import count
from chestnutshunt.usage import tally_key

__all__ = ['USAGE_KIND', 'FrozenWindow', 'freeze', 'window_name']

USAGE_KIND = 'usage'

# Late counts are reported for this many windows, the current one included.
LATE_WINDOW_COUNT = 3

Tallies = Mapping[tally_key.TallyKey, count.Count]


@attrs.frozen
class FrozenWindow:
    """Immutable usage figures that are reported for a window.

    Attributes
    ----------
    window : int
        Number of the window.
    figures : dict of str to Count
        Usage of each workspace in the window.
    late : dict of str to Count
        Usage of earlier windows that arrived after their reports, by
        workspace.
    counted : dict of TallyKey to Count
        Tallies of recent windows as included in this or earlier reports.
    """

    window: int
    figures: dict[str, count.Count]
    late: dict[str, count.Count]
    counted: dict[tally_key.TallyKey, count.Count]

    def requests(self) -> dict[str, int]:
        """Return the requests of each workspace, late ones included."""
        counts: dict[str, int] = {}
        for part in (self.figures, self.late):
            for workspace, used in part.items():
                counts[workspace] = counts.get(workspace, 0) + used.requests
        return counts

    def encode(self) -> dict[str, Any]:
        """Return the JSON form."""
        rows = [
            [*attrs.astuple(key), *attrs.astuple(total)]
            for key, total in sorted(self.counted.items())
        ]
        return {
            'window': self.window,
            'figures': {k: attrs.asdict(v) for k, v in self.figures.items()},
            'late': {k: attrs.asdict(v) for k, v in self.late.items()},
            'counted': rows,
        }

    @classmethod
    def decode(cls, value: dict[str, Any]) -> 'FrozenWindow':
        """Build a frozen window from its JSON form."""
        return cls(
            value['window'],
            {k: count.Count(**v) for k, v in value['figures'].items()},
            {k: count.Count(**v) for k, v in value['late'].items()},
            {
                tally_key.TallyKey(*row[:3]): count.Count(*row[3:])
                for row in value['counted']
            },
        )


def freeze(
    window: int, tallies: Tallies, previous: FrozenWindow | None
) -> FrozenWindow:
    """Compute the figures of a window.

    Parameters
    ----------
    window : int
        Number of a window that has ended.
    tallies : mapping of TallyKey to Count
        All tallies that could be collected.
    previous : FrozenWindow or None
        The preceding window, which holds what is already reported.
    """
    reported = dict(previous.counted) if previous else {}
    counted = {
        key: total
        for key, total in reported.items()
        if key.window > window - LATE_WINDOW_COUNT
    }
    figures: dict[str, count.Count] = {}
    late: dict[str, count.Count] = {}
    for key, tally in tallies.items():
        if not window - LATE_WINDOW_COUNT < key.window <= window:
            continue
        known = reported.get(key, count.Count())
        total = tally.maximum(known)
        counted[key] = total
        sums = figures if key.window == window else late
        added = total.minus(known)
        if added != count.Count():
            current = sums.get(key.workspace, count.Count())
            sums[key.workspace] = current.plus(added)
    return FrozenWindow(window, figures, late, counted)


def window_name(window: int) -> str:
    """Return the name under which a frozen window is stored."""
    return f'{window:012d}'
