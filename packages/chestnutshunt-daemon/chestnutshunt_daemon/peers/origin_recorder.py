"""Writes the origins of streams to the store, for after a loss of daemons."""

from collections.abc import Mapping
import logging

from returns import result

from chestnutshunt import errors
from chestnutshunt.store import object_store
from chestnutshunt.store import put_with_readback
from chestnutshunt.store import stored_object
from chestnutshunt.streams import origin_page
from chestnutshunt.streams import origin_table
from chestnutshunt.streams import stream_origin
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['OriginRecorder']

LOG = logging.getLogger(__name__)

# Time between two pages of one hub, and what each other hub adds to it: all
# hubs together write less than 100 pages a second.
PERIOD_S = 0.5
PERIOD_PER_HUB_S = 0.01

# Streams in one page, which then has 11 KB.
MAX_PAGE_STREAMS = 1000

# Pages of one hub; a page is written anew once it is no longer needed.
PAGE_COUNT = int(origin_page.PAGE_TTL_S / PERIOD_S) + 1


class OriginRecorder:
    """Writes the origins that pass through this hub, a page at a time.

    Only those of services with several software versions are written: else
    the record of the versions tells the origin of every stream. What a page
    says stays true, so one that is written late, by a process that has ended,
    does no harm; the names of pages differ from process to process.

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
        self.unwritten = origin_table.OriginTable(state.clock)
        self.versions: dict[int, int] = {}
        self.next_page = 0

    def add(self, origins: Mapping[str, stream_origin.StreamOrigin]) -> None:
        """Queue the origins of streams that have begun or still run."""
        if self.state.is_hub:
            for request_id, origin in origins.items():
                self.unwritten.record(request_id, origin)

    def run(self) -> None:
        """Write pages until this daemon stops."""
        while not self.state.stopped.wait(self.period_s()):
            try:
                self.write_once()
            except Exception:
                LOG.exception('Writing the origins of streams failed')

    def period_s(self) -> float:
        """Return the seconds between two pages."""
        hubs = len(self.state.topology.current.hubs)
        return PERIOD_S + PERIOD_PER_HUB_S * hubs

    def mixed_services(self) -> set[str]:
        """Return the services that had several software versions lately."""
        services = [x.service for x in self.state.origins.history.known()]
        return {name for name in services if services.count(name) > 1}

    def write_once(self) -> None:
        """Write one page if origins wait that may be needed."""
        services = self.mixed_services()
        if not services:
            return
        batch = self.unwritten.oldest(services, MAX_PAGE_STREAMS)
        if not batch:
            return
        page = origin_page.OriginPage.of(
            {name: origin for name, (_, origin) in batch.items()},
            self.state.time.now(),
        )
        match self.put(page):
            case result.Success(stored):
                self.versions[self.next_page] = stored.version
                self.next_page = (self.next_page + 1) % PAGE_COUNT
                self.unwritten.discard(batch)
                error = ''
            case result.Failure(exc):
                error = exc.message
        LOG.info(
            'Origins of streams written',
            extra={
                'streams': len(batch),
                'waiting': len(self.unwritten),
                'error': error,
            },
        )

    def put(
        self, page: origin_page.OriginPage
    ) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
        """Write a page over the oldest one of this hub.

        That one may have been deleted, or a write without a reply may have
        taken effect: then its version is read, and the write is repeated.
        """
        kind = fleet_state.ORIGIN_KIND
        name = f'{self.state.incarnation}-{self.next_page:03d}'
        value = page.encode()
        expected = self.versions.get(self.next_page, object_store.ABSENT)
        written = put_with_readback.put_with_readback(
            self.store, kind, name, value, expected
        )
        if not isinstance(written, result.Failure) or not isinstance(
            written.failure(), errors.Conflict
        ):
            return written
        match self.store.get(kind, name):
            case result.Success(stored):
                expected = stored.version if stored else object_store.ABSENT
                return put_with_readback.put_with_readback(
                    self.store, kind, name, value, expected
                )
            case failure:
                return failure
