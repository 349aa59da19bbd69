"""One page of a job's results."""

import attrs

from chestnutshunt.jobs import result

__all__ = ['JobPage']


@attrs.frozen
class JobPage:
    """Consecutive results, starting at a position.

    Attributes
    ----------
    total : int
        Number of items in the job.
    after : int
        Position of the first result, counted from 0.
    results : tuple of Result
        The results, in the order in which they were listed.
    """

    total: int
    after: int
    results: tuple[result.Result, ...]
