"""Requests and tokens of one workspace."""

import attrs

__all__ = ['Count']


@attrs.frozen
class Count:
    """An amount of usage.

    Attributes
    ----------
    requests, tokens : int
        Requests that targets reported as done, and their tokens.
    """

    requests: int = 0
    tokens: int = 0

    def plus(self, other: 'Count') -> 'Count':
        """Return the sum of two counts."""
        return Count(
            self.requests + other.requests, self.tokens + other.tokens
        )

    def minus(self, other: 'Count') -> 'Count':
        """Return the difference of two counts."""
        return Count(
            self.requests - other.requests, self.tokens - other.tokens
        )

    def maximum(self, other: 'Count') -> 'Count':
        """Return the larger count, for tallies that only grow."""
        return Count(
            max(self.requests, other.requests),
            max(self.tokens, other.tokens),
        )
