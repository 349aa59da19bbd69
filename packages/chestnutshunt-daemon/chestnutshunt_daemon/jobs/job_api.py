"""Serves callers' calls about batch jobs, at any daemon."""

import json
import logging
from typing import Any

import grpc
from returns import result as outcome

from chestnutshunt import errors
from chestnutshunt.jobs import acceptance
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_codec
from chestnutshunt.jobs import job_page
from chestnutshunt.jobs import result
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.jobs import job_errors
from chestnutshunt_daemon.jobs import job_run
from chestnutshunt_daemon.jobs import job_runner
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['JobApi']

LOG = logging.getLogger(__name__)

# Timeout of reads from a peer, in addition to the wait for results.
PEER_MARGIN_S = 0.8

# Time in which a peer must accept a job; after that another one is asked.
HAND_OVER_TIMEOUT_S = 0.5

# Peers that are asked to run a job.
MAX_HAND_OVER_COUNT = 2

# Largest items of a job in one message; below the limit of 4 MiB for messages
# between daemons.
MAX_HAND_OVER_BYTES = 3_000_000

# Short, because a peer that misses the call reads the end from the store.
END_TIMEOUT_S = 0.5

# Tries to mark a job as ended when others write its object concurrently.
MAX_END_TRIES_COUNT = 4


class JobApi:
    """Accepts, reads and ends jobs; called from many threads.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    store : ObjectStore
        Store of jobs.
    runner : JobRunner
        Runs jobs in this daemon.
    clients : PeerClients
        Channels to the daemons that run other jobs.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: object_store.ObjectStore,
        runner: job_runner.JobRunner,
        clients: peer_clients.PeerClients,
    ) -> None:
        self.state = state
        self.store = store
        self.runner = runner
        self.clients = clients

    def submit(self, job: job.Job) -> None:
        """Accept a job and have it run, here or by a peer.

        Raises
        ------
        NotReady
            The job was not accepted and no part of it runs.
        OutcomeUnknown
            The job may have been accepted.
        """
        match acceptance.accept(self.store, job):
            case outcome.Success(True):
                self.assign(job)
                LOG.info(
                    'Job accepted',
                    extra={
                        'job': job.id,
                        'items': len(job.items),
                        'step': job.step,
                        'minimum_version': job.minimum_version,
                    },
                )
            case outcome.Success(False):
                LOG.info('Job was already accepted', extra={'job': job.id})
            case outcome.Failure(errors.PlatformUncertain() as exc):
                raise errors.OutcomeUnknown(
                    'The job may have been accepted.',
                    'Submit it again under the same id.',
                ) from exc
            case outcome.Failure(exc):
                raise job_errors.store_unavailable(job.id, exc) from exc

    def assign(self, job: job.Job) -> None:
        """Run an accepted job, at the preferred peer or here.

        All jobs of a service run at the same daemon as long as it lives, if
        its VM can serve that many slots. It alone fills the slots of the
        targets, so it knows which are free and orders the items of all jobs;
        it reuses its connections, and it has the texts of items that are
        submitted again. For a service with more slots, only the jobs of one
        workspace and model run together. If the daemon does not answer, the
        next one is asked, and also if that daemon already runs as many items
        as it can. If none takes the job, it runs here.
        """
        for peer in self.runner.preferred_peers(job)[:MAX_HAND_OVER_COUNT]:
            if peer is None:
                if self.runner.has_room(job):
                    break
            elif self.hand_over(peer, job):
                return
        self.runner.add(job)

    def hand_over(self, peer: peer_info.PeerInfo, job: job.Job) -> bool:
        """Hand a job over to a peer; return False if it does not take it."""
        if job.held_bytes > MAX_HAND_OVER_BYTES:
            return False
        items = json.dumps(job_codec.encode_items(job.items)).encode()
        if len(items) > MAX_HAND_OVER_BYTES:
            return False
        value = job_codec.encode_job(job, 0, ended=False)
        request = fleet_pb2.RunRequest(
            job=json.dumps(value).encode(), items=items
        )
        reply = self.call_peer(
            peer, job.id, 'RunJob', request, HAND_OVER_TIMEOUT_S
        )
        accepted = reply is not None and reply.taken
        if accepted:
            LOG.info(
                'Job handed over', extra={'job': job.id, 'peer': peer.name}
            )
        return accepted

    def read(
        self, job_id: str, workspace: str, after: int, wait_s: float
    ) -> job_page.JobPage:
        """Return results of a job; raises `RouteUnknown` or `NotReady`."""
        run = self.runner.runs.get(job_id)
        if run is not None:
            self.check_owner(run.job.workspace, workspace, job_id)
            return run.page(after, wait_s)
        value = self.find(job_id, workspace)
        peer = self.running_peer(job_id)
        if peer is not None:
            page = self.read_from_peer(peer, job_id, after, wait_s)
            if page is not None:
                return page
        return self.readable_run(value).page(after, 0.0)

    def item_body(self, job_id: str, workspace: str, item_id: str) -> bytes:
        """Return the body of an item; raises `RouteUnknown` or `NotReady`."""
        run = self.runner.runs.get(job_id)
        if run is not None:
            self.check_owner(run.job.workspace, workspace, job_id)
        else:
            value = self.find(job_id, workspace)
            reply = self.read_item_from_peer(job_id, item_id)
            if reply is not None and reply.known:
                return reply.body
            run = self.readable_run(value)
        entry = run.item_states.get(item_id)
        if entry is None:
            raise errors.RouteUnknown(f'Job {job_id} has no item {item_id}.')
        return entry.item.body

    def read_item_from_peer(
        self, job_id: str, item_id: str
    ) -> fleet_pb2.ItemReply | None:
        """Ask the peer that runs a job for an item; ``None`` if it can't."""
        peer = self.running_peer(job_id)
        if peer is None:
            return None
        request = fleet_pb2.ItemRequest(job=job_id, item=item_id)
        reply = self.call_peer(
            peer, job_id, 'ReadItem', request, PEER_MARGIN_S
        )
        return reply if reply is not None and reply.found else None

    def readable_run(self, value: dict) -> job_run.JobRun:
        """Return the state of a job that runs elsewhere; raises `NotReady`."""
        match self.runner.readable_run(value):
            case outcome.Success(run):
                return run
            case outcome.Failure(exc):
                raise job_errors.store_unavailable(value['id'], exc) from exc

    def end(self, job_id: str, workspace: str) -> None:
        """Mark a job as ended; raises `RouteUnknown` or `NotReady`."""
        self.find(job_id, workspace)
        stored = self.state.mirrors[job_codec.JOB_KIND].get(job_id)
        for _ in range(MAX_END_TRIES_COUNT):
            if stored is None:
                stored = self.read_from_store(job_id)
            if stored.value['ended']:
                break
            value = {**stored.value, 'ended': True}
            match self.store.put(
                job_codec.JOB_KIND, job_id, value, stored.version
            ):
                case outcome.Success():
                    break
                case outcome.Failure(errors.Conflict()):
                    stored = None
                case outcome.Failure(exc):
                    raise job_errors.store_unavailable(job_id, exc) from exc
        else:
            raise errors.NotReady('The job is being changed concurrently.')
        self.stop_runs(job_id)

    def read_from_store(self, job_id: str) -> stored_object.StoredObject:
        """Return the stored object of a job, read from the store."""
        match self.store.get(job_codec.JOB_KIND, job_id):
            case outcome.Success(None):
                raise errors.RouteUnknown(f'There is no job {job_id}.')
            case outcome.Success(stored):
                return stored
            case outcome.Failure(exc):
                raise job_errors.store_unavailable(job_id, exc) from exc

    def stop_runs(self, job_id: str) -> None:
        """Stop running a job, here and at the peer that runs it."""
        self.runner.end(job_id)
        peer = self.running_peer(job_id)
        if peer is None:
            return
        # A peer that misses the call reads the end from the store.
        request = fleet_pb2.EndRequest(job=job_id)
        self.call_peer(peer, job_id, 'EndJob', request, END_TIMEOUT_S)

    def call_peer(
        self,
        peer: peer_info.PeerInfo,
        job_id: str,
        method: str,
        request: Any,
        timeout_s: float,
    ) -> Any:
        """Return the reply of a call to a peer, ``None`` if the call fails."""
        try:
            stub = self.clients.stub(peer.address)
            return getattr(stub, method)(request, timeout=timeout_s)
        except grpc.RpcError as exc:
            LOG.info(
                'A call to a peer about a job failed',
                extra={
                    'job': job_id,
                    'peer': peer.name,
                    'call': method,
                    'error': str(exc.code()),
                },
            )
            return None

    def find(self, job_id: str, workspace: str) -> dict:
        """Return the stored value of a job.

        Raises
        ------
        RouteUnknown
            The workspace has no such job.
        NotReady
            The store does not answer whether there is one.
        """
        stored = self.state.mirrors[job_codec.JOB_KIND].get(job_id)
        if stored is None:
            stored = self.read_from_store(job_id)
        self.check_owner(stored.value['workspace'], workspace, job_id)
        return stored.value

    def check_owner(self, owner: str, workspace: str, job_id: str) -> None:
        """Raise `RouteUnknown` for a job of another workspace."""
        if owner != workspace:
            raise errors.RouteUnknown(f'There is no job {job_id}.')

    def running_peer(self, job_id: str) -> peer_info.PeerInfo | None:
        """Return the live peer that runs a job, ``None`` if there is none."""
        for peer in self.state.live_peers():
            if job_id in peer.jobs:
                return peer
        return None

    def read_from_peer(
        self,
        peer: peer_info.PeerInfo,
        job_id: str,
        after: int,
        wait_s: float,
    ) -> job_page.JobPage | None:
        """Ask the peer that runs a job for results; ``None`` if it can't."""
        request = fleet_pb2.ReadRequest(job=job_id, after=after, wait_s=wait_s)
        reply = self.call_peer(
            peer, job_id, 'ReadResults', request, wait_s + PEER_MARGIN_S
        )
        if reply is None or not reply.found:
            return None
        rows = json.loads(reply.results)
        return job_page.JobPage(
            reply.total,
            after,
            tuple(result.Result.decode(row) for row in rows),
        )
