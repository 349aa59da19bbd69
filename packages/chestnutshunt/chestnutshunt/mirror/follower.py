"""Follows the platform's changes into a mirror."""

import logging

from returns import result

from chestnutshunt import errors
from chestnutshunt.mirror import mirror
from chestnutshunt.store import followed_store

__all__ = ['Follower']

LOG = logging.getLogger(__name__)

WATCH_TIMEOUT = 20.0
"""Seconds until a watch is made again, so that a silent one is noticed."""


class Follower:
    """Lists once, then watches; also lists again on request.

    Parameters
    ----------
    store : FollowedStore
        Where the objects are kept.
    target : Mirror
        Where the changes go.
    """

    def __init__(
        self, store: followed_store.FollowedStore, target: mirror.Mirror
    ) -> None:
        self.store = store
        self.target = target
        self.connected = False

    def list_once(self) -> bool:
        """List all objects into the mirror; return True on success."""
        match self.store.list_followed():
            case result.Success(listed):
                self.target.apply_listing(listed)
                self.connected = True
                return True
            case result.Failure(error):
                self.connected = False
                LOG.warning('Listing failed: %s', error)
        return False

    def watch_once(self, timeout: float = WATCH_TIMEOUT) -> bool:
        """Wait for changes and apply them; return True on success."""
        after = self.target.revision
        match self.store.watch_followed(after, timeout):
            case result.Success(listed):
                self.connected = True
                self.target.apply(
                    mirror.Changes(listed.revision, listed.objects)
                )
                return True
            case result.Failure(errors.HistoryLost()):
                return self.list_once()
            case result.Failure(error):
                self.connected = False
                LOG.warning('Watch failed: %s', error)
        return False
