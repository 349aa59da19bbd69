"""What callers ask of batch jobs, at any daemon."""

import json
import logging
from typing import Any

import grpc
from returns import result as outcome

from chestnutshunt import errors
from chestnutshunt.jobs import acceptance
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_form
from chestnutshunt.jobs import job_page
from chestnutshunt.jobs import result
from chestnutshunt.routing import rendezvous
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.jobs import job_run
from chestnutshunt_daemon.jobs import job_runner
from chestnutshunt_daemon.jobs import store_away
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['JobApi']

LOG = logging.getLogger(__name__)

PEER_S = 0.8
"""Seconds beyond the wait for results that a peer may take to answer."""

HAND_OVER_S = 0.5
"""Seconds that a peer may take to take a job over; then it runs here."""

HAND_OVER_BYTES = 3_000_000
"""Items of a job in one message; below the 4 MiB between daemons."""

END_S = 0.5
"""Seconds that a peer may take to hear of a job's end; it also reads it."""

MAX_TRIES = 4
"""Writes of a job's end that may meet other writes of it."""


class JobApi:
    """Accepts, reads and ends jobs.

    Parameters
    ----------
    state : FleetState
        The daemon.
    store : ObjectStore
        Where jobs are kept.
    runner : JobRunner
        Runs jobs here.
    clients : PeerClients
        Channels to the daemons that run the others.
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

    def submit(self, held: job.Job) -> None:
        """Accept a job and run it here.

        Raises
        ------
        NotReady
            The job is not accepted and no part of it runs.
        OutcomeUnknown
            It may be accepted.
        """
        match acceptance.accept(self.store, held):
            case outcome.Success(True):
                self.place(held)
                LOG.info(
                    'Job accepted',
                    extra={
                        'job': held.id,
                        'items': len(held.items),
                        'step': held.step,
                        'minimum_version': held.minimum_version,
                    },
                )
            case outcome.Success(False):
                LOG.info('Job had been accepted', extra={'job': held.id})
            case outcome.Failure(errors.PlatformUncertain() as exc):
                raise errors.OutcomeUnknown(
                    'The job may be accepted.',
                    'Submit it again under the same id.',
                ) from exc
            case outcome.Failure(exc):
                raise store_away.store_away(held.id, exc) from exc

    def place(self, held: job.Job) -> None:
        """Have an accepted job run.

        Jobs of one model run at one daemon of the region as long as it
        lives: its connections to targets stay in use, it knows what it has
        sent where, and it has the texts of items that come again. A daemon
        that does not answer is no loss: the job runs here.
        """
        chosen = self.preferred(held)
        if chosen is None or not self.hand_over(chosen, held):
            self.runner.add(held)

    def preferred(self, held: job.Job) -> peer_info.PeerInfo | None:
        """Return the peer that is to run a job, ``None`` for this daemon."""
        own = self.state.config.name
        region = self.state.place.region
        peers = {
            peer.name: peer
            for peer in self.state.store_peers()
            if self.state.place.regions.get(peer.datacentre) == region
        }
        key = f'{held.workspace}/{held.model}'
        return peers.get(rendezvous.rank(key, [*peers, own])[0])

    def hand_over(self, peer: peer_info.PeerInfo, held: job.Job) -> bool:
        """Let a peer run a job; return False if it does not."""
        items = json.dumps(job_form.encode_items(held.items)).encode()
        if len(items) > HAND_OVER_BYTES:
            return False
        value = job_form.encode_job(held, 0, ended=False)
        request = fleet_pb2.RunRequest(
            job=json.dumps(value).encode(), items=items
        )
        reply = self.call_peer(peer, held.id, 'RunJob', request, HAND_OVER_S)
        taken = reply is not None and reply.taken
        if taken:
            LOG.info(
                'Job handed over', extra={'job': held.id, 'peer': peer.name}
            )
        return taken

    def read(
        self, job_id: str, workspace: str, after: int, wait_s: float
    ) -> job_page.JobPage:
        """Return results of a job; raises `RouteUnknown` if there is none."""
        run = self.runner.runs.get(job_id)
        if run is not None:
            self.check_owner(run.job.workspace, workspace, job_id)
            return run.page(after, wait_s)
        value = self.find(job_id, workspace)
        peer = self.peer_that_runs(job_id)
        if peer is not None:
            page = self.ask(peer, job_id, after, wait_s)
            if page is not None:
                return page
        return self.reader(value).page(after, 0.0)

    def item_body(self, job_id: str, workspace: str, item_id: str) -> bytes:
        """Return the body of an item; raises `RouteUnknown`."""
        run = self.runner.runs.get(job_id)
        if run is not None:
            self.check_owner(run.job.workspace, workspace, job_id)
        else:
            value = self.find(job_id, workspace)
            reply = self.ask_item(job_id, item_id)
            if reply is not None and reply.known:
                return reply.body
            run = self.reader(value)
        state = run.states.get(item_id)
        if state is None:
            raise errors.RouteUnknown(f'Job {job_id} has no such item.')
        return state.item.body

    def ask_item(
        self, job_id: str, item_id: str
    ) -> fleet_pb2.ItemReply | None:
        """Return an item's body from the daemon that runs its job."""
        peer = self.peer_that_runs(job_id)
        if peer is None:
            return None
        request = fleet_pb2.ItemRequest(job=job_id, item=item_id)
        reply = self.call_peer(peer, job_id, 'ReadItem', request, PEER_S)
        return reply if reply is not None and reply.found else None

    def reader(self, value: dict) -> job_run.JobRun:
        """Return a job that is read here; raises `NotReady`."""
        match self.runner.reader(value):
            case outcome.Success(held):
                return held
            case outcome.Failure(exc):
                raise store_away.store_away(value['id'], exc) from exc

    def end(self, job_id: str, workspace: str) -> None:
        """End a job; raises `RouteUnknown` if there is none."""
        self.find(job_id, workspace)
        held = self.state.mirrors[job_form.JOB_KIND].get(job_id)
        for _ in range(MAX_TRIES):
            if held is None:
                held = self.read_fresh(job_id)
            if held.value['ended']:
                break
            value = {**held.value, 'ended': True}
            match self.store.put(
                job_form.JOB_KIND, job_id, value, held.version
            ):
                case outcome.Success():
                    break
                case outcome.Failure(errors.Conflict()):
                    held = None
                case outcome.Failure(exc):
                    raise store_away.store_away(job_id, exc) from exc
        else:
            raise errors.NotReady('The job is being changed.')
        self.tell_end(job_id)

    def read_fresh(self, job_id: str) -> stored_object.StoredObject:
        """Return the object that accepted a job, as it is in the store."""
        match self.store.get(job_form.JOB_KIND, job_id):
            case outcome.Success(None):
                raise errors.RouteUnknown(f'There is no job {job_id}.')
            case outcome.Success(held):
                return held
            case outcome.Failure(exc):
                raise store_away.store_away(job_id, exc) from exc

    def tell_end(self, job_id: str) -> None:
        """Stop the job's runs, wherever they are."""
        self.runner.end(job_id)
        peer = self.peer_that_runs(job_id)
        if peer is None:
            return
        # A peer that does not hear it reads the end from the store.
        request = fleet_pb2.EndRequest(job=job_id)
        self.call_peer(peer, job_id, 'EndJob', request, END_S)

    def call_peer(
        self,
        peer: peer_info.PeerInfo,
        job_id: str,
        method: str,
        request: Any,
        timeout: float,
    ) -> Any:
        """Return a peer's reply about a job, ``None`` if it gives none."""
        try:
            stub = self.clients.stub(peer.address)
            return getattr(stub, method)(request, timeout=timeout)
        except grpc.RpcError as exc:
            LOG.info(
                'A peer did not answer about a job',
                extra={
                    'job': job_id,
                    'peer': peer.name,
                    'call': method,
                    'error': str(exc.code()),
                },
            )
            return None

    def find(self, job_id: str, workspace: str) -> dict:
        """Return the object that accepted a job.

        Raises
        ------
        RouteUnknown
            There is no such job of this workspace.
        NotReady
            It is not known whether there is one.
        """
        held = self.state.mirrors[job_form.JOB_KIND].get(job_id)
        if held is None:
            held = self.read_fresh(job_id)
        self.check_owner(held.value['workspace'], workspace, job_id)
        return held.value

    def check_owner(self, owner: str, workspace: str, job_id: str) -> None:
        """Raise `RouteUnknown` for another workspace's job."""
        if owner != workspace:
            raise errors.RouteUnknown(f'There is no job {job_id}.')

    def peer_that_runs(self, job_id: str) -> peer_info.PeerInfo | None:
        """Return the live peer that runs a job."""
        for peer in self.state.live_peers():
            if job_id in peer.jobs:
                return peer
        return None

    def ask(
        self,
        peer: peer_info.PeerInfo,
        job_id: str,
        after: int,
        wait_s: float,
    ) -> job_page.JobPage | None:
        """Return results from the daemon that runs a job."""
        request = fleet_pb2.ReadRequest(job=job_id, after=after, wait_s=wait_s)
        reply = self.call_peer(
            peer, job_id, 'ReadResults', request, wait_s + PEER_S
        )
        if reply is None or not reply.found:
            return None
        rows = json.loads(reply.results)
        return job_page.JobPage(
            reply.total,
            after,
            tuple(result.Result.decode(row) for row in rows),
        )
