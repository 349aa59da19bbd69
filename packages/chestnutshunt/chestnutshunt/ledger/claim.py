"""Outcome of a claim on a request identity."""

import attrs

from chestnutshunt.ledger import entry

__all__ = ['Claim']


@attrs.frozen
class Claim:
    """Which execution may run a request.

    Attributes
    ----------
    granted : bool
        True if the claiming execution may run it.
    holder : Entry
        The claim in force.
    """

    granted: bool
    holder: entry.Entry
