"""A slot of a target, reserved before a request is sent."""

import threading

from chestnutshunt.replicas import replica
from chestnutshunt.replicas import replica_view

__all__ = ['TargetSlot']


class TargetSlot:
    """Counts one request at a target until it is released; thread-safe.

    Parameters
    ----------
    view : ReplicaView
        Counts the requests per target.
    target : Replica
        Target to reserve a slot of.
    """

    def __init__(
        self, view: replica_view.ReplicaView, target: replica.Replica
    ) -> None:
        self.view = view
        self.replica = target
        self.lock = threading.Lock()
        self.is_reserved = True
        view.begin_request(target)

    def release(self) -> None:
        """Release the slot; later calls do nothing."""
        with self.lock:
            if self.is_reserved:
                self.is_reserved = False
                self.view.end_request(self.replica)
