"""Server of the messages between daemons."""

from collections.abc import Iterator
import contextlib
import json
import logging

import grpc

from chestnutshunt import errors
from chestnutshunt.jobs import job_form
from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.jobs import job_runner
from chestnutshunt_daemon import peer_server
from chestnutshunt_daemon.peers import fleet_codec
from chestnutshunt_daemon.peers import heartbeat
from chestnutshunt_daemon.peers import store_codec
from chestnutshunt_daemon.wire import fleet_pb2
from chestnutshunt_daemon.wire import fleet_pb2_grpc

__all__ = ['FleetService', 'fleet_server']

LOG = logging.getLogger(__name__)

MAX_THREADS = 24
"""Heartbeats are short; the rest is for readers that wait for results."""

GRACE_S = 0.2
"""Seconds that calls of peers have left at the end."""

FIRST_AGE_S = 10.0
"""Seconds that a heartbeat without an echo may have been on its way; more
than any belief about freshness lasts."""


class FleetService(fleet_pb2_grpc.FleetServicer):
    """Answers peers.

    Parameters
    ----------
    state : FleetState
        This daemon.
    store : ObjectStore
        The store, reached directly.
    runner : JobRunner
        The jobs that run here.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: object_store.ObjectStore,
        runner: 'job_runner.JobRunner',
    ) -> None:
        self.state = state
        self.store = store
        self.runner = runner

    def Sync(
        self, request: fleet_pb2.State, context: grpc.ServicerContext
    ) -> fleet_pb2.State:
        """Exchange heartbeats."""
        now = self.state.clock.monotonic()
        # Nothing in the message is older than the reply that it echoes.
        missing = heartbeat.apply_heartbeat(
            self.state, request, request.echo_s or now - FIRST_AGE_S, now
        )
        if missing:
            self.state.pull_from(request.address, missing)
        return heartbeat.make_heartbeat(self.state, request.holder)

    def Pull(
        self, request: fleet_pb2.PullRequest, context: grpc.ServicerContext
    ) -> fleet_pb2.PullReply:
        """Hand out all objects of a kind."""
        mirror = self.state.mirrors.get(request.kind)
        if mirror is None:
            return fleet_pb2.PullReply(digest=fleet_pb2.Digest(age_s=-1))
        with mirror.lock:
            return fleet_pb2.PullReply(
                digest=fleet_codec.encode_digest(
                    request.kind, mirror.digest()
                ),
                objects=fleet_codec.encode_objects(mirror.values()),
            )

    def ReadResults(
        self, request: fleet_pb2.ReadRequest, context: grpc.ServicerContext
    ) -> fleet_pb2.ReadReply:
        """Hand out listed results of a job that runs here."""
        try:
            page = self.runner.page(request.job, request.after, request.wait_s)
        except errors.NotReady as exc:
            LOG.info(
                'Results not handed out',
                extra={'job': request.job, 'error': exc.message},
            )
            page = None
        if page is None:
            return fleet_pb2.ReadReply(found=False)
        rows = [item.encode() for item in page.results]
        return fleet_pb2.ReadReply(
            found=True, total=page.total, results=json.dumps(rows).encode()
        )

    def ReadItem(
        self, request: fleet_pb2.ItemRequest, context: grpc.ServicerContext
    ) -> fleet_pb2.ItemReply:
        """Hand out the body of an item of a job that runs here."""
        run = self.runner.runs.get(request.job)
        if run is None:
            return fleet_pb2.ItemReply(found=False)
        state = run.states.get(request.item)
        if state is None:
            return fleet_pb2.ItemReply(found=True, known=False)
        return fleet_pb2.ItemReply(
            found=True, known=True, body=state.item.body
        )

    def RunJob(
        self, request: fleet_pb2.RunRequest, context: grpc.ServicerContext
    ) -> fleet_pb2.RunReply:
        """Run a job that another daemon has accepted."""
        if self.state.leaving.is_set():
            return fleet_pb2.RunReply(taken=False)
        items = job_form.decode_items(json.loads(request.items))
        held = job_form.decode_job(json.loads(request.job), items)
        self.runner.add(held)
        return fleet_pb2.RunReply(taken=True)

    def EndJob(
        self, request: fleet_pb2.EndRequest, context: grpc.ServicerContext
    ) -> fleet_pb2.EndReply:
        """Stop the runs of a job that has been ended in the store."""
        self.runner.end(request.job)
        return fleet_pb2.EndReply()

    def CallStore(
        self, request: fleet_pb2.StoreCall, context: grpc.ServicerContext
    ) -> fleet_pb2.StoreReply:
        """Make a store call for a daemon that the store turns away."""
        return store_codec.execute_call(self.store, request)


@contextlib.contextmanager
def fleet_server(service: FleetService, address: str) -> Iterator[grpc.Server]:
    """Serve other daemons until the context ends."""
    with peer_server.serving(
        lambda made: fleet_pb2_grpc.add_FleetServicer_to_server(service, made),
        address,
        'settings',
        MAX_THREADS,
        GRACE_S,
    ) as server:
        yield server
