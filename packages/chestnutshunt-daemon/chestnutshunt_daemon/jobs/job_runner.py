"""Runs the jobs that this daemon has accepted or taken over."""

from concurrent import futures
import logging
import threading

from returns import result as outcome

from chestnutshunt.deployment import route
from chestnutshunt import errors
from chestnutshunt.jobs import acceptance
from chestnutshunt.jobs import item_state
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_form
from chestnutshunt.jobs import job_page
from chestnutshunt.replicas import replica
from chestnutshunt.routing import rendezvous
from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.jobs import item_runner
from chestnutshunt_daemon.jobs import job_run
from chestnutshunt_daemon.targets import target_slot

__all__ = ['JobRunner']

LOG = logging.getLogger(__name__)

TICK_S = 0.03
"""Seconds between two looks for free slots."""

REVIEW_S = 0.4
"""Seconds between two looks for jobs that nobody runs."""

ORPHAN_S = 1.3
"""Seconds for which no live daemon runs a job before it is taken over; a
heartbeat more than a peer counts as live."""

HEARD_S = 0.6
"""Seconds instead where every daemon is heard: a heartbeat and a half."""

THREADS = 160
"""Items that one daemon runs at one time; each takes some 60 KB."""

ENDED_KEPT_S = 45.0
"""Seconds for which an ended job stays in memory for its readers."""


MAX_ENDED = 24
"""Ended jobs kept in memory, some 300 KB each."""

MAX_READERS = 16
"""Jobs kept in memory only for their readers, some 300 KB each."""


class JobRunner:
    """Starts items where there are free slots; takes over orphaned jobs.

    Parameters
    ----------
    state : FleetState
        The daemon.
    store : ObjectStore
        Where jobs and results are kept.
    items : ItemRunner
        Runs single items.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: object_store.ObjectStore,
        items: item_runner.ItemRunner,
    ) -> None:
        self.state = state
        self.store = store
        self.items = items
        self.runs: dict[str, job_run.JobRun] = {}
        self.ended_at: dict[str, float] = {}
        self.orphaned_since: dict[str, float] = {}
        self.readers: dict[str, job_run.JobRun] = {}
        self.pool = futures.ThreadPoolExecutor(THREADS, 'item')
        self.lock = threading.Lock()
        state.running_job_ids = self.run_ids

    def make_run(self, held: job.Job) -> job_run.JobRun:
        """Return the state of a job that is read or run here."""
        return job_run.JobRun(held, self.store, self.state.clock)

    def run_ids(self) -> list[str]:
        """Return the jobs that run here."""
        return list(self.runs)

    def add(self, held: job.Job) -> job_run.JobRun:
        """Run a job that has been accepted."""
        with self.lock:
            if held.id in self.runs:
                return self.runs[held.id]
            made = self.make_run(held)
            self.carry(made)
            self.runs[held.id] = made
        made.start()
        self.state.wake_peers()
        return made

    def carry(self, made: job_run.JobRun) -> None:
        """Take over texts of items that an earlier job had."""
        carried = 0
        for run in self.runs.values():
            if run.job.workspace != made.job.workspace:
                continue
            for item_id in run.states.keys() & made.states.keys():
                carried += made.states[item_id].carry(
                    run.states[item_id], made.job.minimum_version
                )
        if carried:
            LOG.info(
                'Texts carried over',
                extra={'job': made.job.id, 'items': carried},
            )

    def end(self, job_id: str) -> None:
        """Stop the runs of a job that has been ended in the store."""
        run = self.runs.get(job_id)
        if run is not None and not run.ended.is_set():
            run.end()
            self.ended_at[job_id] = self.state.clock.monotonic()
            LOG.info('Job ended', extra={'job': job_id})

    def page(
        self, job_id: str, after: int, wait_s: float
    ) -> job_page.JobPage | None:
        """Return results of a job that runs here."""
        run = self.runs.get(job_id)
        return None if run is None else run.page(after, wait_s)

    def dispatch(self) -> None:
        """Start items until the daemon stops."""
        while not self.state.stopped.wait(TICK_S):
            for run in sorted(
                list(self.runs.values()),
                key=lambda x: (x.job.submitted_at, x.job.id),
            ):
                self.start_items(run)

    def start_items(self, run: job_run.JobRun) -> None:
        """Start the items of a job for which there are slots."""
        waiting = run.waiting()
        if not waiting or self.state.deployment is None:
            return
        taken = self.state.deployment.route_of(run.job.host, run.job.path)
        if taken is None:
            self.give_up_without_route(run, waiting)
            return
        late = self.state.time.now() - run.job.submitted_at
        if taken.item_lifetime_s and late > taken.item_lifetime_s:
            for state in waiting:
                self.items.give_up(run, state, 'its lifetime is over')
            return
        for state in waiting:
            if not self.start_item(run, state, taken):
                break

    def start_item(
        self,
        run: job_run.JobRun,
        state: item_state.ItemState,
        taken: route.Route,
    ) -> bool:
        """Start an item; return False if no target has a free slot."""
        slot = None
        if not state.text_is_whole:
            chosen = self.choose(run, state, taken)
            if chosen is None:
                return False
            slot = target_slot.TargetSlot(self.state.replicas, chosen)
            run.group_targets.setdefault(state.item.prompt_group, set()).add(
                chosen.id
            )
        state.running = True
        self.pool.submit(self.items.run, run, state, taken, slot)
        return True

    def choose(
        self,
        run: job_run.JobRun,
        state: item_state.ItemState,
        taken: route.Route,
    ) -> replica.Replica | None:
        """Return the target for an item, ``None`` if all are full."""
        exact = None
        service = taken.service_for(0.0)
        if taken.single_version and state.versions:
            exact = state.versions[0]
            if not self.is_held(service, run.job.model, exact):
                state.start_over()
                exact = None
        return self.state.replicas.choose_engine(
            service,
            run.job.model,
            run.job.minimum_version,
            run.group_targets.get(state.item.prompt_group, ()),
            exact,
        )

    def is_held(self, service: str, model: str, version: int) -> bool:
        """Tell whether a target holds exactly a weight version."""
        view = self.state.replicas
        return any(
            view.has_version(held, model, version, version)
            for held in view.serving(service)
        )

    def give_up_without_route(
        self, run: job_run.JobRun, waiting: list[item_state.ItemState]
    ) -> None:
        """Give up items whose route the operator has removed."""
        if self.state.config_age_s() < self.state.config.lease_s:
            for state in waiting:
                self.items.give_up(run, state, 'its route is gone')

    def review(self) -> None:
        """Look for ended and orphaned jobs until the daemon stops."""
        while not self.state.stopped.wait(REVIEW_S):
            try:
                self.review_once()
            except Exception:
                LOG.exception('The review of jobs failed')

    def review_once(self) -> None:
        """Drop ended jobs and take over those that nobody runs."""
        now = self.state.clock.monotonic()
        ended = list(self.ended_at.items())
        for number, (job_id, at) in enumerate(ended):
            too_many = number < len(ended) - MAX_ENDED
            if now - at > ENDED_KEPT_S or too_many:
                self.runs.pop(job_id, None)
                del self.ended_at[job_id]
        elsewhere = {
            job_id
            for peer in self.state.live_peers()
            if not peer.leaving
            for job_id in peer.jobs
        }
        for held in self.state.mirrors[job_form.JOB_KIND].values():
            if held.value['ended']:
                self.end(held.name)
                self.orphaned_since.pop(held.name, None)
            elif held.name in self.runs or held.name in elsewhere:
                self.orphaned_since.pop(held.name, None)
            else:
                since = self.orphaned_since.setdefault(held.name, now)
                patience = HEARD_S if self.state.all_peers_live() else ORPHAN_S
                if now - since > patience and self.is_next(held.name):
                    self.take_over(held.value)

    def is_next(self, job_id: str) -> bool:
        """Tell whether this daemon is to take over a job."""
        if self.state.leaving.is_set() or self.state.deployment is None:
            return False
        names = [peer.name for peer in self.state.store_peers()]
        names.append(self.state.config.name)
        return rendezvous.rank(job_id, names)[0] == self.state.config.name

    def take_over(self, value: dict) -> None:
        """Run a job whose daemon is gone."""
        age = self.state.time.now() - value['submitted_at']
        if age > self.state.config.job_kept_s:
            return
        match self.load(value):
            case outcome.Success(made):
                with self.lock:
                    if made.job.id in self.runs:
                        return
                    self.runs[made.job.id] = made
                made.start()
                self.state.wake_peers()
                LOG.info(
                    'Job taken over',
                    extra={
                        'job': made.job.id,
                        'listed': len(made.log.listed),
                        'total': len(made.states),
                        'age_s': round(age, 3),
                    },
                )
            case outcome.Failure(exc):
                LOG.warning(
                    'Job not taken over yet',
                    extra={'job': value['id'], 'error': exc.message},
                )

    def load(
        self, value: dict
    ) -> outcome.Result[job_run.JobRun, errors.ChestnutshuntError]:
        """Read a job and its results from the store."""
        match acceptance.read_job(self.store, value):
            case outcome.Success(held):
                made = self.make_run(held)
            case failure:
                return failure
        match made.log.load():
            case outcome.Success():
                return outcome.Success(made)
            case failure:
                return failure

    def reader(
        self, value: dict
    ) -> outcome.Result[job_run.JobRun, errors.ChestnutshuntError]:
        """Return a job that is read here but does not run here."""
        held = self.readers.get(value['id'])
        if held is None:
            match self.load(value):
                case outcome.Success(made):
                    held = made
                    self.readers[value['id']] = made
                    while len(self.readers) > MAX_READERS:
                        del self.readers[next(iter(self.readers))]
                case failure:
                    return failure
        return outcome.Success(held)
