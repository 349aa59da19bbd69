"""Append-only log of a job's results, ordered by conditional creates."""

import threading

from returns import result as outcome

from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt.jobs import job_codec
from chestnutshunt.jobs import result
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object

__all__ = ['ResultLog']

# Size of a page in characters; leaves room for quoting below the callers'
# limit of 1 MB.
MAX_PAGE_CHARS = 700_000

# Size of a segment in characters; leaves room for quoting below the store's
# limit of 1 MiB.
MAX_SEGMENT_CHARS = 500_000

# What a result adds to a page or a segment besides its text.
PAGE_OVERHEAD_CHARS = 200
SEGMENT_OVERHEAD_CHARS = 300


class ResultLog:
    """Appends results by creating numbered segments.

    Creating a segment fixes the positions of its results. If two daemons run
    the same job, only one of them creates the segment with a given number;
    the other reads that segment, leaves out the items listed in it and tries
    the next number. A write without a reply is resolved by the next write of
    the same number: it either succeeds or fails with `Conflict`, and then the
    segment that exists, this log's or another's, is read.

    Parameters
    ----------
    store : ObjectStore
        Where the segments are stored.
    job_id : str
        Job whose results the segments hold.
    writer : str
        Unique name of this log, stored in the segments that it creates.
    clock : Clock
        Clock that measures the age of the last read of the store.

    Attributes
    ----------
    results : list of Result
        Results listed in the segments read so far; an index in this list is
        a position.
    confirmed_at : float
        Monotonic time in seconds at which no segment was missing here.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        job_id: str,
        writer: str,
        clock: clock.Clock,
    ) -> None:
        self.store = store
        self.job_id = job_id
        self.writer = writer
        self.clock = clock
        self.confirmed_at = float('-inf')
        self.kind = job_codec.log_kind(job_id)
        self.segment_count = 0
        self.results: list[result.Result] = []
        self.listed_ids: set[str] = set()
        self.condition = threading.Condition()

    def load(self) -> outcome.Result[None, errors.ChestnutshuntError]:
        """Read all segments that this log has not applied yet."""
        started_at = self.clock.monotonic()
        match self.store.list_kind(self.kind):
            case outcome.Success(listing):
                for stored in sorted(listing.objects, key=lambda x: x.name):
                    self.apply_segment(stored)
                self.confirmed_at = max(self.confirmed_at, started_at)
                return outcome.Success(None)
            case failure:
                return failure

    def refresh(
        self, max_age_s: float
    ) -> outcome.Result[None, errors.ChestnutshuntError]:
        """Make sure that no segment older than `max_age_s` is missing here.

        Another daemon may run the same job, and readers may already have seen
        results that it listed.
        """
        while True:
            started_at = self.clock.monotonic()
            if started_at - self.confirmed_at <= max_age_s:
                return outcome.Success(None)
            match self.store.get(self.kind, segment_name(self.segment_count)):
                case outcome.Success(None):
                    self.confirmed_at = max(self.confirmed_at, started_at)
                case outcome.Success(stored):
                    self.apply_segment(stored)
                case failure:
                    return failure

    def apply_segment(self, stored: stored_object.StoredObject) -> None:
        """Add the results of a segment if it is the next one."""
        if stored.name != segment_name(self.segment_count):
            return
        with self.condition:
            self.segment_count += 1
            for value in stored.value['results']:
                decoded = result.Result.decode(value)
                if decoded.id not in self.listed_ids:
                    self.listed_ids.add(decoded.id)
                    self.results.append(decoded)
            self.condition.notify_all()

    def append(
        self, results: list[result.Result]
    ) -> outcome.Result[None, errors.ChestnutshuntError]:
        """Append results, leaving out items that are already listed.

        Returns
        -------
        Result
            Failure if it is unknown whether the results are listed. It is
            safe to append the same results again.
        """
        while True:
            batch = fill_segment(
                [item for item in results if item.id not in self.listed_ids]
            )
            if not batch:
                return outcome.Success(None)
            value = {
                'writer': self.writer,
                'results': [item.encode() for item in batch],
            }
            name = segment_name(self.segment_count)
            started_at = self.clock.monotonic()
            match self.store.put(self.kind, name, value, object_store.ABSENT):
                case outcome.Success(stored):
                    self.apply_segment(stored)
                    self.confirmed_at = max(self.confirmed_at, started_at)
                case outcome.Failure(errors.Conflict()):
                    match self.load():
                        case outcome.Failure() as failure:
                            return failure
                case failure:
                    return failure

    def wait_for_result(self, position: int, timeout_s: float) -> None:
        """Wait until there is a result at a position, or for a timeout."""
        with self.condition:
            self.condition.wait_for(
                lambda: len(self.results) > position, timeout_s
            )

    def page(self, after: int) -> tuple[result.Result, ...]:
        """Return listed results from a position on that fit into one page.

        There is at least one result unless none is listed there.
        """
        batch = []
        size = 0
        for item in self.results[after:]:
            size += len(item.text) + PAGE_OVERHEAD_CHARS
            if batch and size > MAX_PAGE_CHARS:
                break
            batch.append(item)
        return tuple(batch)


def segment_name(number: int) -> str:
    """Return the name of a segment, padded so that names sort by number."""
    return f'{number:06d}'


def fill_segment(results: list[result.Result]) -> list[result.Result]:
    """Return the first results that fit into one segment, at least one."""
    batch = []
    size = 0
    for item in results:
        size += len(item.text) + SEGMENT_OVERHEAD_CHARS
        if batch and size > MAX_SEGMENT_CHARS:
            break
        batch.append(item)
    return batch
