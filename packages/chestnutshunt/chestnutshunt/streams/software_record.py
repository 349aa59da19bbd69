"""Record of the software versions that the targets of a service run."""

from collections.abc import Iterable
from typing import Any

import attrs

from chestnutshunt.streams import origin_table

__all__ = ['SoftwareRecord']


@attrs.frozen
class SoftwareRecord:
    """Versions in service now and lately; kept in the store.

    Attributes
    ----------
    since : float
        Unix time in seconds from which the record is complete.
    present : tuple of str
        Versions of the registered targets.
    left : dict of str to float
        Unix time in seconds at which the last target of a version left.
    """

    since: float
    present: tuple[str, ...] = ()
    left: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def decode(cls, value: dict[str, Any]) -> 'SoftwareRecord':
        """Build a record from its stored value.

        Raises
        ------
        KeyError, TypeError
            A field is missing or has the wrong type.
        """
        return cls(
            float(value['since']), tuple(value['present']), dict(value['left'])
        )

    def encode(self) -> dict[str, Any]:
        """Return the value to store."""
        return {
            'since': self.since,
            'present': list(self.present),
            'left': self.left,
        }

    def updated(
        self, present: Iterable[str], recent: Iterable[str], now: float
    ) -> 'SoftwareRecord':
        """Return the record after a change.

        Parameters
        ----------
        present : iterable of str
            Versions of the targets that are registered now.
        recent : iterable of str
            Versions of targets that were registered lately.
        now : float
            Unix time in seconds.
        """
        left = dict.fromkeys([*recent, *self.present], now) | self.left
        kept = tuple(sorted(present))
        return SoftwareRecord(
            self.since,
            kept,
            {
                software: at
                for software, at in left.items()
                if software not in kept
                and now - at < origin_table.ORIGIN_TTL_S
            },
        )

    def covers_all_streams(self, now: float) -> bool:
        """Return whether it names every version that began a stream.

        Parameters
        ----------
        now : float
            Unix time in seconds.
        """
        return now - self.since >= origin_table.ORIGIN_TTL_S
