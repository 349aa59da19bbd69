"""A place at a target that is taken before its request is sent."""

import threading

from chestnutshunt.replicas import replica
from chestnutshunt.replicas import replica_view

__all__ = ['TargetSlot']


class TargetSlot:
    """Counts one request at a target until it is released.

    Parameters
    ----------
    view : ReplicaView
        Counts the requests.
    chosen : Replica
        The target.
    """

    def __init__(
        self, view: replica_view.ReplicaView, chosen: replica.Replica
    ) -> None:
        self.view = view
        self.replica = chosen
        self.lock = threading.Lock()
        self.taken = True
        view.begin_request(chosen)

    def release(self) -> None:
        """Give the place back; later calls do nothing."""
        with self.lock:
            if self.taken:
                self.taken = False
                self.view.end_request(self.replica)
