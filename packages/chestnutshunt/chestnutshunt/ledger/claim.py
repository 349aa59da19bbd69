"""Outcome of a claim."""

import attrs

from chestnutshunt.ledger import entry

__all__ = ['Claim']


@attrs.frozen
class Claim:
    """Who may run a request.

    Attributes
    ----------
    granted : bool
        True if it is the execution that asked.
    holder : Entry
        The claim in force.
    """

    granted: bool
    holder: entry.Entry
