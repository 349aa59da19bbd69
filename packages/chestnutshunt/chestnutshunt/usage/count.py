"""Requests and tokens of one workspace."""

import attrs

__all__ = ['Count']


@attrs.frozen
class Count:
    """Usage of a workspace.

    Attributes
    ----------
    requests, tokens : int
        Requests that targets reported as done, and the tokens of these.
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
        """Return the maximum of each field, to merge copies of a tally."""
        return Count(
            max(self.requests, other.requests),
            max(self.tokens, other.tokens),
        )
