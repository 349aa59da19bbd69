"""State of a batch job that this daemon runs or reads."""

import logging
import secrets
import threading

from returns import result as outcome

from chestnutshunt import clock
from chestnutshunt.jobs import item_order
from chestnutshunt.jobs import item_state
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_page
from chestnutshunt.jobs import result
from chestnutshunt.jobs import result_log
from chestnutshunt.store import object_store
from chestnutshunt_daemon.jobs import job_errors

__all__ = ['JobRun']

LOG = logging.getLogger(__name__)

# Results that finish within this time are written as one segment: each segment
# is a write to the store, and all daemons share a few hundred of those.
BATCH_DELAY_S = 0.25

# A daemon may answer that there is no result yet if it has read the store
# within this time; a listed result must be visible everywhere within 1 s.
CONFIRMATION_MAX_AGE_S = 0.6

# Time between the starts of two tries to write a segment; a try without a
# reply takes longer than that.
RETRY_S = 0.4


class JobRun:
    """State of a job, and the thread that lists its results in the store.

    Parameters
    ----------
    job : Job
        The job.
    store : ObjectStore
        Store of the list of results.
    clock : Clock
        Clock for delays and retries.
    """

    def __init__(
        self,
        job: job.Job,
        store: object_store.ObjectStore,
        clock: clock.Clock,
    ) -> None:
        self.job = job
        self.held_bytes = job.held_bytes
        self.clock = clock
        self.result_log = result_log.ResultLog(
            store, job.id, secrets.token_hex(6), clock
        )
        self.item_states = {
            item.id: item_state.ItemState(item) for item in job.items
        }
        self.order = item_order.start_order(self.item_states.values())
        self.group_targets: dict[str, set[str]] = {}
        self.cancel_tokens: dict[str, object] = {}
        self.pending_results: list[result.Result] = []
        self.ended = threading.Event()
        self.wake = threading.Event()
        self.lock = threading.Lock()
        self.thread = threading.Thread(
            target=self.run, name=f'job-{job.id}', daemon=True
        )

    @property
    def is_done(self) -> bool:
        """True once every item has a listed result."""
        return len(self.result_log.listed_ids) >= len(self.item_states)

    @property
    def is_finished(self) -> bool:
        """True once no result of an item is awaited any more."""
        return all(
            entry.finished or entry.item.id in self.result_log.listed_ids
            for entry in self.order
        )

    def start(self) -> None:
        """Start the thread that lists results."""
        self.thread.start()

    def startable_items(self) -> list[item_state.ItemState]:
        """Return the items that may be started now, in start order."""
        if self.ended.is_set():
            return []
        now = self.clock.monotonic()
        return [
            entry
            for entry in self.order
            if not entry.running
            and not entry.finished
            and entry.not_before <= now
            and entry.item.id not in self.result_log.listed_ids
        ]

    def finish(
        self, entry: item_state.ItemState, item_result: result.Result
    ) -> None:
        """Queue the result of an item for listing; thread-safe."""
        with self.lock:
            entry.finished = True
            self.pending_results.append(item_result)
        self.wake.set()

    def end(self) -> None:
        """Cancel all running items of the job."""
        if self.ended.is_set():
            return
        self.ended.set()
        self.wake.set()
        for token in list(self.cancel_tokens.values()):
            token.cancel()

    def run(self) -> None:
        """List results until every item has one or the job is ended."""
        while not self.is_done and not self.ended.is_set():
            self.wake.wait(1.0)
            self.wake.clear()
            if self.pending_results:
                if not self.is_finished:
                    self.clock.sleep(BATCH_DELAY_S)
                self.list_pending()
            if self.pending_results:
                self.wake.set()

    def list_pending(self) -> None:
        """Write the pending results to the store, retrying until it works.

        A call whose reply was lost has already lasted longer than `RETRY_S`,
        so the next one follows at once; reading the log shows whether the
        write was done.
        """
        while self.pending_results and not self.ended.is_set():
            started_at = self.clock.monotonic()
            with self.lock:
                batch = list(self.pending_results)
            match self.result_log.append(batch):
                case outcome.Success():
                    with self.lock:
                        del self.pending_results[: len(batch)]
                    LOG.info(
                        'Results listed',
                        extra={
                            'job': self.job.id,
                            'results': len(batch),
                            'listed': len(self.result_log.results),
                            'total': len(self.item_states),
                        },
                    )
                    return
                case outcome.Failure(exc):
                    LOG.warning(
                        'Results not listed yet',
                        extra={
                            'job': self.job.id,
                            'results': len(batch),
                            'error': exc.message,
                        },
                    )
            elapsed_s = self.clock.monotonic() - started_at
            if elapsed_s < RETRY_S:
                self.clock.sleep(RETRY_S - elapsed_s)

    def page(self, after: int, wait_s: float) -> job_page.JobPage:
        """Return results from a position on, waiting up to `wait_s` for one.

        Raises
        ------
        NotReady
            No result is known here, and the store does not answer whether
            another daemon has listed one.
        """
        if not self.is_settled(after):
            self.confirm()
        if (
            not self.is_settled(after)
            and wait_s > 0
            and not self.ended.is_set()
        ):
            self.result_log.wait_for_result(after, wait_s)
            if not self.is_settled(after):
                self.confirm()
        return job_page.JobPage(
            len(self.item_states), after, self.result_log.page(after)
        )

    def is_settled(self, position: int) -> bool:
        """Return whether a position is listed, or all results are."""
        return len(self.result_log.results) > position or self.is_done

    def confirm(self) -> None:
        """Read results from the store that another daemon may have listed.

        This is done also when no other daemon runs the job now, as one may
        have run it before.

        Raises
        ------
        NotReady
            The store does not answer.
        """
        match self.result_log.refresh(CONFIRMATION_MAX_AGE_S):
            case outcome.Failure(exc):
                raise job_errors.store_unavailable(self.job.id, exc) from exc
