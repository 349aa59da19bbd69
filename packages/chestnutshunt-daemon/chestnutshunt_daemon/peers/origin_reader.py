"""Reads the origins of streams that hubs have written to the store."""

import logging
import threading

from returns import result

from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt.streams import origin_index
from chestnutshunt.streams import origin_page
from chestnutshunt.streams import stream_origin
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['OriginReader']

LOG = logging.getLogger(__name__)

# Least time between two reads of all pages, after a read that succeeded and
# after one that failed.
PERIOD_S = 2.0
RETRY_S = 0.5

# What the pages of one stream in the mean add to that time: 11 bytes at
# 250 KB/s.
PERIOD_PER_STREAM_S = 4.4e-5

# Longest wait of a caller's request for a read that another one has begun.
MAX_WAIT_S = 1.0


class OriginReader:
    """Finds origins in the store; reads it only for streams not found here.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    store : ObjectStore
        Store that keeps the pages.
    """

    def __init__(
        self, state: fleet_state.FleetState, store: object_store.ObjectStore
    ) -> None:
        self.state = state
        self.store = store
        self.index = origin_index.OriginIndex()
        self.next_read_at = 0.0
        self.lock = threading.Lock()

    def find_for_leaf(
        self, request_id: str
    ) -> stream_origin.StreamOrigin | None:
        """Return what `find` does, without a wait for another request.

        Many leaves may ask at once, and the threads that serve them serve
        heartbeats as well.
        """
        return self.find(request_id, 0.0)

    def find(
        self, request_id: str, max_wait_s: float = MAX_WAIT_S
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin of a stream, ``None`` if no page names it.

        Only a hub reads pages; it does so for its leaves, too.

        Parameters
        ----------
        request_id : str
            Request that began the stream.
        max_wait_s : float, optional
            Longest wait in seconds for a read that another request has begun.
        """
        found = self.index.find(request_id)
        if found is not None or not self.state.is_hub:
            return found
        if not self.lock.acquire(timeout=max_wait_s):
            return None
        try:
            if self.state.clock.monotonic() >= self.next_read_at:
                self.read()
        finally:
            self.lock.release()
        return self.index.find(request_id)

    def read(self) -> None:
        """Read all pages; needs the lock."""
        began_at = self.state.clock.monotonic()
        match self.store.list_kind(fleet_state.ORIGIN_KIND):
            case result.Success(listing):
                pages = list(filter(None, map(decode_page, listing.objects)))
                self.index = origin_index.OriginIndex(pages)
                pause_s = PERIOD_S + PERIOD_PER_STREAM_S * len(self.index)
                error = ''
            case result.Failure(exc):
                pause_s = RETRY_S
                error = exc.message
        now = self.state.clock.monotonic()
        self.next_read_at = now + pause_s
        LOG.info(
            'Origins of streams read from the store',
            extra={
                'streams': len(self.index),
                'seconds': round(now - began_at, 3),
                'error': error,
            },
        )


def decode_page(
    stored: stored_object.StoredObject,
) -> origin_page.OriginPage | None:
    """Return a page; a malformed one is logged and ignored."""
    try:
        return origin_page.OriginPage.decode(stored.value)
    except (KeyError, TypeError, ValueError) as exc:
        LOG.warning(
            'Malformed page of origins ignored',
            extra={'page': stored.name, 'error': repr(exc)},
        )
        return None
