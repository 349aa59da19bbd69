"""Figures of a window, frozen by one conditional create."""

from collections.abc import Mapping
from typing import Any

import attrs

from chestnutshunt.usage import count
from chestnutshunt.usage import tally_key

__all__ = ['USAGE_KIND', 'FrozenWindow', 'freeze', 'window_name']

USAGE_KIND = 'usage'

LATE_WINDOW_COUNT = 3
"""Windows whose late counts still go into a later window."""

Tallies = Mapping[tally_key.TallyKey, count.Count]


@attrs.frozen
class FrozenWindow:
    """What is reported of a window, now and ever.

    Attributes
    ----------
    window : int
        Number of the window.
    figures : dict of str to Count
        Usage of each workspace in the window.
    late : dict of str to Count
        Usage of earlier windows that was counted too late for them.
    counted : dict of TallyKey to Count
        Tallies of recent windows that are in this or an earlier report.
    """

    window: int
    figures: dict[str, count.Count]
    late: dict[str, count.Count]
    counted: dict[tally_key.TallyKey, count.Count]

    def requests(self) -> dict[str, int]:
        """Return the requests to report, late ones included."""
        counts: dict[str, int] = {}
        for part in (self.figures, self.late):
            for workspace, held in part.items():
                counts[workspace] = counts.get(workspace, 0) + held.requests
        return counts

    def encode(self) -> dict[str, Any]:
        """Return the JSON form."""
        rows = [
            [*attrs.astuple(key), *attrs.astuple(held)]
            for key, held in sorted(self.counted.items())
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
    window: int, tallies: Tallies, before: FrozenWindow | None
) -> FrozenWindow:
    """Work out the figures of a window.

    Parameters
    ----------
    window : int
        Window that has ended.
    tallies : mapping of TallyKey to Count
        All tallies that could be had.
    before : FrozenWindow or None
        The window before, which tells what is already counted.
    """
    known = dict(before.counted) if before else {}
    counted = {
        key: held
        for key, held in known.items()
        if key.window > window - LATE_WINDOW_COUNT
    }
    figures: dict[str, count.Count] = {}
    late: dict[str, count.Count] = {}
    for key, held in tallies.items():
        if not window - LATE_WINDOW_COUNT < key.window <= window:
            continue
        done = known.get(key, count.Count())
        total = held.maximum(done)
        counted[key] = total
        into = figures if key.window == window else late
        added = total.minus(done)
        if added != count.Count():
            sum_so_far = into.get(key.workspace, count.Count())
            into[key.workspace] = sum_so_far.plus(added)
    return FrozenWindow(window, figures, late, counted)


def window_name(window: int) -> str:
    """Return the platform name of a frozen window."""
    return f'{window:012d}'
