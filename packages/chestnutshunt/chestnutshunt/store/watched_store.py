"""Base type of stores whose changes can be waited for."""

import abc

from returns import result

from chestnutshunt.store import listing
from chestnutshunt.store import object_store

__all__ = ['WatchedStore']


class WatchedStore(object_store.ObjectStore):
    """Store that tells what has changed since a revision.

    Attributes
    ----------
    calls : int
        Calls made so far.
    """

    calls: int

    @abc.abstractmethod
    def watch_kind(
        self, kind: str, after: int, timeout_s: float
    ) -> result.Result[listing.Listing, object_store.StoreError]:
        """Wait for changes of a kind.

        Parameters
        ----------
        kind : str
            Kind to watch.
        after : int
            Revision up to which all changes are known.
        timeout_s : float
            Longest wait in seconds; then no object is listed.

        Returns
        -------
        Result
            The last change of each object, deletions included, or
            `HistoryLost` if the store no longer knows them all.
        """
