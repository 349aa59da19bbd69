"""Targets that have said in a response that they are shutting down."""

import logging
import threading

from chestnutshunt.replicas import replica

__all__ = ['LeavingTargets']

LOG = logging.getLogger(__name__)

# Target processes that are remembered; the oldest are forgotten beyond that.
MAX_TARGET_COUNT = 20_000


class LeavingTargets:
    """Remembers target processes that are shutting down; thread-safe.

    Their registrations may still say that they are ready, may lapse and come
    back. The next process of a target does not count as leaving.
    """

    def __init__(self) -> None:
        self.start_keys: dict[str, None] = {}
        self.lock = threading.Lock()

    def add(self, target: replica.Replica, request_id: str) -> None:
        """Record that a target has said so in its response to a request."""
        key = target.start_key
        with self.lock:
            if key in self.start_keys:
                return
            self.start_keys[key] = None
            while len(self.start_keys) > MAX_TARGET_COUNT:
                del self.start_keys[next(iter(self.start_keys))]
        LOG.info(
            'Target says that it is leaving',
            extra={
                'request': request_id,
                'target': target.id,
                'started_ms': target.started_ms,
                'registered_as_leaving': target.leaving,
            },
        )

    def __contains__(self, target: replica.Replica) -> bool:
        return target.start_key in self.start_keys
