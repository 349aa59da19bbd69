"""Base type of the calls that change the weights of targets."""

import abc

from returns import result

from chestnutshunt import errors
from chestnutshunt.replicas import replica
from chestnutshunt.weights import load_order
from chestnutshunt.weights import target_report

__all__ = ['WeightLoader']


class WeightLoader(abc.ABC):
    """Gives orders to targets and reads their reports."""

    @abc.abstractmethod
    def report(
        self, target: replica.Replica
    ) -> result.Result[target_report.TargetReport, errors.ChestnutshuntError]:
        """Read what a target says of itself."""

    @abc.abstractmethod
    def load(
        self, target: replica.Replica, order: load_order.LoadOrder
    ) -> result.Result[bool, errors.ChestnutshuntError]:
        """Order a target to load a version.

        Returns
        -------
        Result
            True if it begins, False if the version is there already;
            `Conflict` if the target has had other orders.
        """
