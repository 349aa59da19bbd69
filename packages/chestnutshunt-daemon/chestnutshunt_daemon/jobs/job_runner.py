"""Runs the jobs that this daemon was given or has taken over."""

from collections.abc import Callable
from concurrent import futures
import logging
import threading

from returns import result as outcome

from chestnutshunt.deployment import route
from chestnutshunt import errors
from chestnutshunt.jobs import acceptance
from chestnutshunt.jobs import item_state
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_codec
from chestnutshunt.jobs import job_page
from chestnutshunt.jobs import version_rule
from chestnutshunt.routing import rendezvous
from chestnutshunt.store import object_store
from chestnutshunt.weights import model_demand
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.jobs import item_placement
from chestnutshunt_daemon.jobs import item_runner
from chestnutshunt_daemon.jobs import job_run
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_daemon.targets import target_slot

__all__ = ['JobRunner']

LOG = logging.getLogger(__name__)

DISPATCH_INTERVAL_S = 0.03

# Longest time between two checks of whether an idle daemon has been stopped.
MAX_IDLE_S = 0.5

REVIEW_INTERVAL_S = 0.4

# Weight of the present number of items in its moving average, which then spans
# about two steps.
DEMAND_WEIGHT_RATIO = 0.04

# A model with fewer items on average has no demand any more.
MIN_DEMAND_ITEMS = 0.05

# A job is taken over when no live daemon has run it for this long: one
# heartbeat more than a peer counts as live without one.
ORPHAN_TIMEOUT_S = 1.3

# The same when heartbeats of every daemon arrive: one and a half heartbeats.
ORPHAN_TIMEOUT_ALL_HEARD_S = 0.6

# Running items that a daemon with one core can serve.
SLOTS_PER_CORE = 100

# Time for which an ended job stays in memory for callers that read it.
ENDED_JOB_TTL_S = 45.0

# Ended jobs kept in memory, about 300 KB each.
MAX_ENDED_JOBS_COUNT = 24

# Jobs kept in memory only for reading, about 300 KB each.
MAX_READABLE_RUNS_COUNT = 16

# Jobs up to this size are not counted in the memory for callers.
LARGE_JOB_BYTES = 1_000_000


class JobRunner:
    """Starts items at targets with free slots; takes over orphaned jobs.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    store : ObjectStore
        Store of jobs and results.
    item_runner : ItemRunner
        Runs single items.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: object_store.ObjectStore,
        item_runner: item_runner.ItemRunner,
    ) -> None:
        self.state = state
        self.store = store
        self.item_runner = item_runner
        self.placement = item_placement.ItemPlacement(state)
        self.runs: dict[str, job_run.JobRun] = {}
        self.ended_at: dict[str, float] = {}
        self.orphaned_since: dict[str, float] = {}
        self.readable_runs: dict[str, job_run.JobRun] = {}
        running_items = state.config.running_items
        self.pool = futures.ThreadPoolExecutor(running_items, 'item')
        self.free_threads = threading.BoundedSemaphore(running_items)
        self.lock = threading.Lock()
        self.added = threading.Event()
        state.running_job_ids = self.job_ids
        self.mean_items: dict[str, float] = {}
        state.own_demands = self.demands

    def make_run(self, job: job.Job) -> job_run.JobRun:
        """Return the state of a job, to be run or read here."""
        return job_run.JobRun(job, self.store, self.state.clock)

    def has_room(self, job: job.Job) -> bool:
        """Return whether a job's items would leave no slot idle here.

        They would if more items could run than this daemon has threads for.
        """
        unfinished = sum(
            not entry.finished
            for run in list(self.runs.values())
            if not run.ended.is_set()
            for entry in run.order
        )
        items = len(job.items) + unfinished
        slots = self.count_slots(self.service_of(job))
        return min(items, slots) <= self.state.config.running_items

    def job_ids(self) -> list[str]:
        """Return the ids of the jobs that run here."""
        return list(self.runs)

    def demands(self) -> dict[str, model_demand.ModelDemand]:
        """Return the demand of the jobs that run here, by model."""
        waiting = self.count_items(lambda entry: not entry.running)
        needed: dict[str, int] = {}
        for run in list(self.runs.values()):
            if run.startable_items():
                model = run.job.model
                needed[model] = max(
                    run.job.minimum_version, needed.get(model, 0)
                )
        return {
            model: model_demand.ModelDemand(
                items, waiting.get(model, 0), needed.get(model, 0)
            )
            for model, items in list(self.mean_items.items())
        }

    def count_items(
        self, is_counted: Callable[[item_state.ItemState], bool]
    ) -> dict[str, int]:
        """Return the number of unfinished items that count, by model."""
        counts: dict[str, int] = {}
        for run in list(self.runs.values()):
            if run.job.model and not run.ended.is_set():
                counts[run.job.model] = counts.get(run.job.model, 0) + sum(
                    not entry.finished
                    and not entry.text_complete
                    and is_counted(entry)
                    for entry in run.order
                )
        return counts

    def update_demand(self) -> None:
        """Add the present number of items to the moving averages."""
        counts = self.count_items(lambda entry: True)
        for model in counts.keys() | self.mean_items.keys():
            mean = self.mean_items.get(model, 0.0)
            mean += DEMAND_WEIGHT_RATIO * (counts.get(model, 0) - mean)
            self.mean_items[model] = mean
            if mean < MIN_DEMAND_ITEMS:
                del self.mean_items[model]

    def held_bytes(self) -> int:
        """Return the memory that the items of large jobs take."""
        sizes = [run.held_bytes for run in list(self.runs.values())]
        return sum(size for size in sizes if size >= LARGE_JOB_BYTES)

    def add(self, job: job.Job) -> job_run.JobRun:
        """Run an accepted job; return its run if there is one already."""
        with self.lock:
            if job.id in self.runs:
                return self.runs[job.id]
            run = self.make_run(job)
            self.carry_over_texts(run)
            self.runs[job.id] = run
        run.start()
        self.added.set()
        self.state.wake_peers()
        return run

    def carry_over_texts(self, run: job_run.JobRun) -> None:
        """Copy the texts that earlier jobs have for the same items."""
        current = self.state.deployment
        route = current and current.match_route(run.job.host, run.job.path)
        if route is None:
            return
        rule = version_rule.rule_for(run.job, route)
        carried = 0
        for earlier in self.runs.values():
            if earlier.job.workspace != run.job.workspace:
                continue
            for item_id in earlier.item_states.keys() & run.item_states.keys():
                carried += run.item_states[item_id].resume_from(
                    earlier.item_states[item_id], rule
                )
        if carried:
            LOG.info(
                'Texts of earlier jobs reused',
                extra={'job': run.job.id, 'items': carried},
            )

    def end(self, job_id: str) -> None:
        """Stop running a job that is marked as ended in the store."""
        run = self.runs.get(job_id)
        if run is not None and not run.ended.is_set():
            run.end()
            self.ended_at[job_id] = self.state.clock.monotonic()
            LOG.info('Job ended', extra={'job': job_id})

    def page(
        self, job_id: str, after: int, wait_s: float
    ) -> job_page.JobPage | None:
        """Return results of a job, ``None`` if it does not run here."""
        run = self.runs.get(job_id)
        return None if run is None else run.page(after, wait_s)

    def dispatch(self) -> None:
        """Start items, oldest job first, until the daemon stops."""
        while not self.state.stopped.wait(DISPATCH_INTERVAL_S):
            if not self.runs:
                self.added.wait(MAX_IDLE_S)
                self.added.clear()
            for run in sorted(
                list(self.runs.values()),
                key=lambda run: (run.job.submitted_at, run.job.id),
            ):
                self.try_start_items(run)

    def try_start_items(self, run: job_run.JobRun) -> None:
        """Start items of a job; an error must not keep back other jobs."""
        try:
            self.start_items(run)
        except Exception:
            LOG.exception('Starting items of job %s failed', run.job.id)

    def start_items(self, run: job_run.JobRun) -> None:
        """Start as many items of a job as there are free slots."""
        startable = run.startable_items()
        if not startable or self.state.deployment is None:
            return
        route = self.state.deployment.match_route(run.job.host, run.job.path)
        if route is None:
            self.give_up_without_route(run, startable)
            return
        age_s = self.state.time.now() - run.job.submitted_at
        if route.item_lifetime_s and age_s > route.item_lifetime_s:
            for entry in startable:
                self.item_runner.give_up(
                    run, entry, 'its item lifetime has expired'
                )
            return
        blocked_count = self.start_in_turn(run, startable, route)
        if blocked_count:
            self.placement.want_permits(run, route, blocked_count)

    def start_in_turn(
        self,
        run: job_run.JobRun,
        startable: list[item_state.ItemState],
        route: route.Route,
    ) -> int:
        """Start items on free threads; return how many lack a free slot."""
        blocked_count = 0
        for index, entry in enumerate(startable):
            # A target is chosen only for a thread that is free: an item that
            # waits must not keep a slot, nor a choice that grows old.
            if not self.free_threads.acquire(blocking=False):
                break
            started = False
            try:
                started = self.start_item(run, entry, route)
            finally:
                if not started:
                    self.free_threads.release()
            if started:
                continue
            if not entry.texts:
                return blocked_count + len(startable) - index
            # It may wait for certain targets only, and the next one not.
            blocked_count += 1
        return blocked_count

    def start_item(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        route: route.Route,
    ) -> bool:
        """Start an item on a free thread.

        Returns
        -------
        bool
            False if no target has a free slot; the thread is still free.
        """
        slot = None
        if not entry.text_complete:
            target = self.placement.choose_target(run, entry, route)
            if target is None:
                return False
            slot = target_slot.TargetSlot(self.state.replicas, target)
            run.group_targets.setdefault(entry.item.prompt_group, set()).add(
                target.id
            )
        entry.running = True
        self.pool.submit(self.run_item, run, entry, route, slot)
        return True

    def run_item(
        self,
        run: job_run.JobRun,
        entry: item_state.ItemState,
        route: route.Route,
        slot: target_slot.TargetSlot | None,
    ) -> None:
        """Run an item in a thread of the pool, and free the thread."""
        try:
            self.item_runner.run(run, entry, route, slot)
        finally:
            self.free_threads.release()

    def give_up_without_route(
        self, run: job_run.JobRun, startable: list[item_state.ItemState]
    ) -> None:
        """Give up items without a route, if the configuration is recent."""
        if self.state.config_age_s() < self.state.config.lease_s:
            for entry in startable:
                self.item_runner.give_up(run, entry, 'its route was removed')

    def review(self) -> None:
        """Look for ended and orphaned jobs until the daemon stops."""
        while not self.state.stopped.wait(REVIEW_INTERVAL_S):
            try:
                self.review_once()
            except Exception:
                LOG.exception('Looking for ended and orphaned jobs failed')

    def review_once(self) -> None:
        """Drop old ended jobs and take over orphaned ones."""
        now = self.state.clock.monotonic()
        self.update_demand()
        ended = list(self.ended_at.items())
        for number, (job_id, at) in enumerate(ended):
            too_many = number < len(ended) - MAX_ENDED_JOBS_COUNT
            if now - at > ENDED_JOB_TTL_S or too_many:
                self.runs.pop(job_id, None)
                del self.ended_at[job_id]
        elsewhere = {
            job_id
            for peer in self.state.live_peers()
            if not peer.leaving
            for job_id in peer.jobs
        }
        for stored in self.state.mirrors[job_codec.JOB_KIND].values():
            if stored.value['ended']:
                self.end(stored.name)
                self.orphaned_since.pop(stored.name, None)
            elif stored.name in self.runs or stored.name in elsewhere:
                self.orphaned_since.pop(stored.name, None)
            else:
                since = self.orphaned_since.setdefault(stored.name, now)
                timeout_s = (
                    ORPHAN_TIMEOUT_ALL_HEARD_S
                    if self.state.all_peers_live()
                    else ORPHAN_TIMEOUT_S
                )
                if now - since > timeout_s and self.is_successor(stored.value):
                    self.take_over(stored.value)

    def preferred_peers(self, job: job.Job) -> list[peer_info.PeerInfo | None]:
        """Return the peers that should run a job in order of preference.

        ``None`` stands for this daemon. Those near the store come first, as
        results are written there.
        """
        state = self.state
        hubs: dict[str, tuple[float, peer_info.PeerInfo | None]] = {
            peer.name: (peer.store_read_s, peer)
            for peer in state.store_peers()
        }
        if state.is_hub and (state.store_read_s >= 0 or not hubs):
            hubs[state.config.name] = (state.store_read_s, None)
        service = self.service_of(job)
        order = rendezvous.rank(service, hubs)
        if order and not self.can_serve(order[0], service):
            order = rendezvous.rank(f'{job.workspace}/{job.model}', hubs)
        order.sort(key=lambda name: hubs[name][0] > fleet_state.NEAR_STORE_S)
        return [hubs[name][1] for name in order]

    def can_serve(self, name: str, service: str) -> bool:
        """Return whether a daemon's VM can serve all slots of a service."""
        view = self.state.topology
        member = view.members.get(name, view.own)
        return self.count_slots(service) <= member.capacity * SLOTS_PER_CORE

    def count_slots(self, service: str) -> int:
        """Return the number of slots that the targets of a service have."""
        return sum(x.slots for x in self.state.replicas.serving(service))

    def service_of(self, job: job.Job) -> str:
        """Return the service that runs the items of a job."""
        current = self.state.deployment
        route = current and current.match_route(job.host, job.path)
        return route.service_for(0.0) if route else ''

    def is_successor(self, value: dict) -> bool:
        """Return whether this daemon is the one to take over a job."""
        if self.state.leaving.is_set() or self.state.deployment is None:
            return False
        if not self.state.is_hub:
            return False
        taken_over = job_codec.decode_job(value, ())
        return self.preferred_peers(taken_over)[:1] == [None]

    def take_over(self, value: dict) -> None:
        """Run an orphaned job; it stays orphaned if the store fails."""
        match self.load(value):
            case outcome.Success(run):
                with self.lock:
                    if run.job.id in self.runs:
                        return
                    self.runs[run.job.id] = run
                run.start()
                self.added.set()
                self.state.wake_peers()
                LOG.info(
                    'Job taken over',
                    extra={
                        'job': run.job.id,
                        'listed': len(run.result_log.results),
                        'total': len(run.item_states),
                        'age_s': round(
                            self.state.time.now() - run.job.submitted_at, 3
                        ),
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
            case outcome.Success(job):
                run = self.make_run(job)
            case failure:
                return failure
        match run.result_log.load():
            case outcome.Success():
                return outcome.Success(run)
            case failure:
                return failure

    def readable_run(
        self, value: dict
    ) -> outcome.Result[job_run.JobRun, errors.ChestnutshuntError]:
        """Return the cached or loaded state of a job that runs elsewhere."""
        run = self.readable_runs.get(value['id'])
        if run is None:
            match self.load(value):
                case outcome.Success(new_run):
                    run = new_run
                    self.readable_runs[value['id']] = new_run
                    while len(self.readable_runs) > MAX_READABLE_RUNS_COUNT:
                        del self.readable_runs[next(iter(self.readable_runs))]
                case failure:
                    return failure
        return outcome.Success(run)
