"""The results of a job in the order that the object store has agreed on."""

import threading

from returns import result as outcome

from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt.jobs import job_codec
from chestnutshunt.jobs import result
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object

__all__ = ['ResultLog']

PAGE_BYTES = 700_000
"""Text in one page; below the callers' bound of 1 MB with its quoting."""

SEGMENT_BYTES = 500_000
"""Text in one segment; below the store's bound of 1 MiB with its quoting."""


class ResultLog:
    """Appends results by creating numbered segments.

    The creation of a segment is the agreement: of two daemons that run the
    same job one creates a number, the other reads what that number holds,
    drops the items that are listed there and tries the next number. A write
    without a reply is settled by the next one: either the segment turns out
    to be this log's own, or another has it.

    Parameters
    ----------
    store : ObjectStore
        Where the segments are.
    job_id : str
        Job whose results they hold.
    writer : str
        Unique to this log, so that it knows its own segments.
    clock : Clock
        Clock for how old the last look at the store is.
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
        """Read all segments that this log does not know."""
        began = self.clock.monotonic()
        match self.store.list_kind(self.kind):
            case outcome.Success(found):
                for held in sorted(found.objects, key=lambda x: x.name):
                    self.apply_segment(held)
                self.confirmed_at = max(self.confirmed_at, began)
                return outcome.Success(None)
            case failure:
                return failure

    def refresh(
        self, age_s: float
    ) -> outcome.Result[None, errors.ChestnutshuntError]:
        """Make sure that no segment older than an age is missing here.

        Another daemon may run the same job and have listed results that its
        readers know of.
        """
        while True:
            began = self.clock.monotonic()
            if began - self.confirmed_at <= age_s:
                return outcome.Success(None)
            match self.store.get(self.kind, segment_name(self.segment_count)):
                case outcome.Success(None):
                    self.confirmed_at = max(self.confirmed_at, began)
                case outcome.Success(held):
                    self.apply_segment(held)
                case failure:
                    return failure

    def apply_segment(self, held: stored_object.StoredObject) -> None:
        """Take over a segment if it is the next one."""
        if held.name != segment_name(self.segment_count):
            return
        with self.condition:
            self.segment_count += 1
            for value in held.value['results']:
                found = result.Result.decode(value)
                if found.id not in self.listed_ids:
                    self.listed_ids.add(found.id)
                    self.results.append(found)
            self.condition.notify_all()

    def append(
        self, results: list[result.Result]
    ) -> outcome.Result[None, errors.ChestnutshuntError]:
        """List results; those of items that are listed already are dropped.

        Returns
        -------
        Result
            Failure if it is not known whether the results are listed. The
            same results may then be appended again.
        """
        while True:
            batch = first_segment(
                [item for item in results if item.id not in self.listed_ids]
            )
            if not batch:
                return outcome.Success(None)
            value = {
                'writer': self.writer,
                'results': [item.encode() for item in batch],
            }
            name = segment_name(self.segment_count)
            began = self.clock.monotonic()
            match self.store.put(self.kind, name, value, object_store.ABSENT):
                case outcome.Success(held):
                    self.apply_segment(held)
                    self.confirmed_at = max(self.confirmed_at, began)
                case outcome.Failure(errors.Conflict()):
                    match self.load():
                        case outcome.Failure() as failure:
                            return failure
                case failure:
                    return failure

    def wait_for_result(self, position: int, timeout: float) -> None:
        """Wait until there is a result at a position."""
        with self.condition:
            self.condition.wait_for(
                lambda: len(self.results) > position, timeout
            )

    def page(self, after: int) -> tuple[result.Result, ...]:
        """Return listed results from a position on, bounded in size."""
        found = []
        size = 0
        for item in self.results[after:]:
            size += len(item.text) + 200
            if found and size > PAGE_BYTES:
                break
            found.append(item)
        return tuple(found)


def segment_name(number: int) -> str:
    """Return the name of a segment; names sort by number."""
    return f'{number:06d}'


def first_segment(results: list[result.Result]) -> list[result.Result]:
    """Return the results that fit into one segment, at least one."""
    found = []
    size = 0
    for item in results:
        size += len(item.text) + 300
        if found and size > SEGMENT_BYTES:
            break
        found.append(item)
    return found
