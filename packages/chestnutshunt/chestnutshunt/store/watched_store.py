"""Base class of stores that support watches."""

import abc

from returns import result

from chestnutshunt.store import listing
from chestnutshunt.store import object_store

__all__ = ['WatchedStore']


class WatchedStore(object_store.ObjectStore):
    """Store that reports what has changed since a revision.

    Attributes
    ----------
    calls : int
        Number of calls made so far.
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
            Longest wait in seconds, after which an empty listing is returned.

        Returns
        -------
        Result
            The last change of each object, including deletions;
            `HistoryLost` if the store no longer has all changes.
        """
