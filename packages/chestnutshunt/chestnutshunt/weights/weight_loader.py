"""Base class of clients that load weights at targets."""

import abc

from returns import result

from chestnutshunt import errors
from chestnutshunt.replicas import replica
from chestnutshunt.weights import load_order
from chestnutshunt.weights import target_report

__all__ = ['WeightLoader']


class WeightLoader(abc.ABC):
    """Sends load orders to targets and reads their status."""

    @abc.abstractmethod
    def report(
        self, target: replica.Replica
    ) -> result.Result[target_report.TargetReport, errors.ChestnutshuntError]:
        """Read the status of a target."""

    @abc.abstractmethod
    def load(
        self, target: replica.Replica, order: load_order.LoadOrder
    ) -> result.Result[bool, errors.ChestnutshuntError]:
        """Order a target to load a version.

        Returns
        -------
        Result
            True if the target starts to load, False if it already has the
            version; `Conflict` if it has accepted other orders.
        """
