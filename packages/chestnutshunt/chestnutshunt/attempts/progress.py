"""How far a request has got."""

import enum

__all__ = ['Progress']


class Progress(enum.Enum):
    """What a refusal can truthfully say about a request.

    The values are the words that callers see.
    """

    NOT_SENT = 'not run'
    MAY_HAVE_RUN = 'may have run'
    RAN = 'ran'

    def furthest(self, other: 'Progress') -> 'Progress':
        """Return the further of two states."""
        order = list(Progress)
        return max(self, other, key=order.index)
