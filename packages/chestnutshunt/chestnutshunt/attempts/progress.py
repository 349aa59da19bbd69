"""Execution state of a request as reported to its caller."""

import enum

__all__ = ['Progress']


class Progress(enum.Enum):
    """Whether a request has run at a target.

    The members are ordered; the values appear in error replies.
    """

    NOT_SENT = 'not run'
    MAY_HAVE_RUN = 'may have run'
    RAN = 'ran'

    def furthest(self, other: 'Progress') -> 'Progress':
        """Return the later of two states."""
        order = list(Progress)
        return max(self, other, key=order.index)
