"""Demand for the targets of one model."""

import attrs

__all__ = ['ModelDemand']


@attrs.frozen
class ModelDemand:
    """Items of jobs that use one model.

    Attributes
    ----------
    items : float
        Moving average of the number of items that run or wait.
    waiting : int
        Items that have not been started.
    needed_version : int
        Oldest weight version that all of these may use.
    """

    items: float = 0.0
    waiting: int = 0
    needed_version: int = 0

    def plus(self, other: 'ModelDemand') -> 'ModelDemand':
        """Return the sum of two demands."""
        return ModelDemand(
            self.items + other.items,
            self.waiting + other.waiting,
            max(self.needed_version, other.needed_version),
        )
