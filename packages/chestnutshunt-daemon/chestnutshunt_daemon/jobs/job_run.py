"""One batch job that this daemon runs."""

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

GATHER_S = 0.25
"""Seconds in which results are gathered for one segment; each costs a write
of the few hundred that all daemons share."""

CONFIRMED_S = 0.6
"""Seconds since the last look at the store for which this daemon may say that
there is no result yet; a listed one has to be seen everywhere within 1."""

RETRY_S = 0.4
"""Seconds from one try to write a segment to the next; one that gets no reply
takes longer than that by itself."""


class JobRun:
    """State of a running job, and the thread that lists its results.

    Parameters
    ----------
    held : Job
        The job.
    store : ObjectStore
        Where its results are listed.
    clock : Clock
        Clock of retries.
    """

    def __init__(
        self,
        held: job.Job,
        store: object_store.ObjectStore,
        source: clock.Clock,
    ) -> None:
        self.job = held
        self.clock = source
        self.log = result_log.ResultLog(
            store, held.id, secrets.token_hex(6), source
        )
        self.item_states = {
            entry.id: item_state.ItemState(entry) for entry in held.items
        }
        self.order = item_order.start_order(self.item_states.values())
        self.group_targets: dict[str, set[str]] = {}
        self.cancel_tokens: dict[str, object] = {}
        self.pending: list[result.Result] = []
        self.ended = threading.Event()
        self.wake = threading.Event()
        self.lock = threading.Lock()
        self.thread = threading.Thread(
            target=self.run, name=f'job-{held.id}', daemon=True
        )

    @property
    def is_done(self) -> bool:
        """True once every item is listed."""
        return len(self.log.ids) >= len(self.item_states)

    def start(self) -> None:
        """Start the thread that lists results."""
        self.thread.start()

    def startable_items(self) -> list[item_state.ItemState]:
        """Return the items to start, the most pressing first."""
        if self.ended.is_set():
            return []
        now = self.clock.monotonic()
        return [
            state
            for state in self.order
            if not state.running
            and not state.finished
            and state.not_before <= now
            and state.item.id not in self.log.ids
        ]

    def finish(self, state: item_state.ItemState, made: result.Result) -> None:
        """Hand over an item's result to be listed."""
        with self.lock:
            state.finished = True
            self.pending.append(made)
        self.wake.set()

    def end(self) -> None:
        """Stop all runs of the job."""
        if self.ended.is_set():
            return
        self.ended.set()
        self.wake.set()
        for cancel_token in list(self.cancel_tokens.values()):
            cancel_token.cancel()

    def run(self) -> None:
        """List results until all are listed or the job is ended."""
        while not self.is_done and not self.ended.is_set():
            self.wake.wait(1.0)
            self.wake.clear()
            if self.pending:
                self.clock.sleep(GATHER_S)
                self.list_pending()
            if self.pending:
                self.wake.set()

    def list_pending(self) -> None:
        """List what is pending, again and again until the store takes it.

        A call whose reply was lost has used up its time, so the next one
        follows at once; whether it was done shows when the log is read.
        """
        while self.pending and not self.ended.is_set():
            began = self.clock.monotonic()
            with self.lock:
                batch = list(self.pending)
            match self.log.append(batch):
                case outcome.Success():
                    with self.lock:
                        del self.pending[: len(batch)]
                    LOG.info(
                        'Results listed',
                        extra={
                            'job': self.job.id,
                            'results': len(batch),
                            'listed': len(self.log.listed),
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
            taken_s = self.clock.monotonic() - began
            if taken_s < RETRY_S:
                self.clock.sleep(RETRY_S - taken_s)

    def page(self, after: int, wait_s: float) -> job_page.JobPage:
        """Return listed results, waiting for one if there is none.

        Raises
        ------
        NotReady
            There is none here, and the store does not say whether another
            daemon has listed one.
        """
        if not self.is_settled(after):
            self.confirm()
        if (
            not self.is_settled(after)
            and wait_s > 0
            and not self.ended.is_set()
        ):
            self.log.wait_beyond(after, wait_s)
            if not self.is_settled(after):
                self.confirm()
        return job_page.JobPage(
            len(self.item_states), after, self.log.page(after)
        )

    def is_settled(self, position: int) -> bool:
        """Tell whether a position has a result, or never will."""
        return len(self.log.listed) > position or self.is_done

    def confirm(self) -> None:
        """Look at the store for what another daemon may have listed.

        That this daemon is the only one that runs the job now does not show
        that none did before, so there is no exception.
        """
        match self.log.confirm(CONFIRMED_S):
            case outcome.Failure(exc):
                raise job_errors.store_unavailable(self.job.id, exc) from exc
