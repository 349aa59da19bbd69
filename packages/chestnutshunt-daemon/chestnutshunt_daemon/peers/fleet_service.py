"""gRPC service for calls between daemons."""

from collections.abc import Iterator
import contextlib
import json
import logging

import grpc

from chestnutshunt import errors
from chestnutshunt.jobs import job_codec
from chestnutshunt.store import object_store
from chestnutshunt.streams import stream_origin
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.jobs import job_runner
from chestnutshunt_daemon import peer_server
from chestnutshunt_daemon.peers import fleet_codec
from chestnutshunt_daemon.peers import heartbeat
from chestnutshunt_daemon.peers import origin_relay
from chestnutshunt_daemon.peers import permit_broker
from chestnutshunt_daemon.peers import store_codec
from chestnutshunt_daemon.wire import fleet_pb2
from chestnutshunt_daemon.wire import fleet_pb2_grpc

__all__ = ['FleetService', 'fleet_server']

LOG = logging.getLogger(__name__)

# Heartbeats need few threads; most serve readers that wait for results.
MAX_THREAD_COUNT = 24

# Time for calls of peers to complete when the server stops.
SHUTDOWN_GRACE_S = 0.2

# Assumed age of a heartbeat that echoes no reply; longer than any mirror
# counts as fresh.
MAX_TRANSIT_S = 10.0


class FleetService(fleet_pb2_grpc.FleetServicer):
    """Handles the calls of peers.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    store : ObjectStore
        The store, called directly and not through a peer.
    runner : JobRunner
        Runs this daemon's jobs.
    broker : PermitBroker
        Issues permits for rate-limited targets.
    relay : OriginRelay
        Keeps and finds the origins of streams.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: object_store.ObjectStore,
        runner: 'job_runner.JobRunner',
        broker: permit_broker.PermitBroker,
        relay: origin_relay.OriginRelay,
    ) -> None:
        self.state = state
        self.store = store
        self.runner = runner
        self.broker = broker
        self.relay = relay

    def Sync(
        self, request: fleet_pb2.State, context: grpc.ServicerContext
    ) -> fleet_pb2.State:
        """Apply a peer's heartbeat and reply with this daemon's."""
        now = self.state.clock.monotonic()
        # The message was made after the reply whose time it echoes.
        outdated_kinds = heartbeat.apply_heartbeat(
            self.state, request, request.echo_s or now - MAX_TRANSIT_S, now
        )
        self.state.topology.called_at[request.name] = now
        if outdated_kinds:
            self.state.pull_from(request.address, outdated_kinds)
        return heartbeat.make_heartbeat(
            self.state, request.holder, for_leaf=request.leaf
        )

    def Pull(
        self, request: fleet_pb2.PullRequest, context: grpc.ServicerContext
    ) -> fleet_pb2.PullReply:
        """Return the objects of a kind that the caller does not have."""
        mirror = self.state.mirrors.get(request.kind)
        if mirror is None:
            return fleet_pb2.PullReply(digest=fleet_pb2.Digest(age_s=-1))
        with mirror.lock:
            changes = mirror.changes_since(request.after)
            return fleet_pb2.PullReply(
                digest=fleet_codec.encode_digest(
                    request.kind, mirror.digest()
                ),
                objects=fleet_codec.encode_objects(
                    mirror.values() if changes is None else changes.objects
                ),
                partial=changes is not None,
                removed=() if changes is None else changes.removed,
            )

    def ReadResults(
        self, request: fleet_pb2.ReadRequest, context: grpc.ServicerContext
    ) -> fleet_pb2.ReadReply:
        """Return listed results of a job that runs here."""
        try:
            page = self.runner.page(request.job, request.after, request.wait_s)
        except errors.NotReady as exc:
            LOG.info(
                'Results not returned to a peer',
                extra={'job': request.job, 'error': exc.message},
            )
            page = None
        if page is None:
            return fleet_pb2.ReadReply(found=False)
        rows = [item_result.encode() for item_result in page.results]
        return fleet_pb2.ReadReply(
            found=True, total=page.total, results=json.dumps(rows).encode()
        )

    def ReadItem(
        self, request: fleet_pb2.ItemRequest, context: grpc.ServicerContext
    ) -> fleet_pb2.ItemReply:
        """Return the body of an item of a job that runs here."""
        run = self.runner.runs.get(request.job)
        if run is None:
            return fleet_pb2.ItemReply(found=False)
        item_state = run.item_states.get(request.item)
        if item_state is None:
            return fleet_pb2.ItemReply(found=True, known=False)
        return fleet_pb2.ItemReply(
            found=True, known=True, body=item_state.item.body
        )

    def RunJob(
        self, request: fleet_pb2.RunRequest, context: grpc.ServicerContext
    ) -> fleet_pb2.RunReply:
        """Run a job that another daemon has accepted.

        Not during a shutdown, nor if it would leave slots of targets idle.
        """
        if self.state.leaving.is_set():
            return fleet_pb2.RunReply(taken=False)
        items = job_codec.decode_items(json.loads(request.items))
        job = job_codec.decode_job(json.loads(request.job), items)
        if not self.runner.has_room(job):
            LOG.info(
                'Job not taken, as too many items run here',
                extra={'job': job.id, 'items': len(items)},
            )
            return fleet_pb2.RunReply(taken=False)
        self.runner.add(job)
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
        """Make a store call for a daemon that cannot reach the store."""
        return store_codec.execute_call(self.store, request)

    def IssuePermits(
        self, request: fleet_pb2.PermitRequest, context: grpc.ServicerContext
    ) -> fleet_pb2.PermitReply:
        """Issue permits for requests to rate-limited targets."""
        wants = [fleet_codec.decode_want(want) for want in request.wants]
        grants = self.broker.issue(wants, request.relayed)
        return fleet_pb2.PermitReply(
            grants=[fleet_codec.encode_grant(grant) for grant in grants]
        )

    def RecordOrigins(
        self, request: fleet_pb2.StreamOrigins, context: grpc.ServicerContext
    ) -> fleet_pb2.OriginsKept:
        """Keep the origins of streams that peers began."""
        origins = {
            entry.request: stream_origin.StreamOrigin(
                entry.service, entry.software
            )
            for entry in request.origins
        }
        self.relay.accept(origins, request.relayed)
        return fleet_pb2.OriginsKept()

    def FindOrigin(
        self, request: fleet_pb2.OriginQuery, context: grpc.ServicerContext
    ) -> fleet_pb2.OriginAnswer:
        """Return the origin of a stream if it is known.

        A leaf's question is also answered from what hubs have recorded.
        """
        in_doubt = False
        origin = None
        try:
            origin = self.relay.find(request.request, request.relayed)
        except errors.NotReady:
            in_doubt = True
        if origin is None and not request.relayed:
            origin = self.relay.find_recorded(request.request)
        if origin is None:
            return fleet_pb2.OriginAnswer(found=False, in_doubt=in_doubt)
        return fleet_pb2.OriginAnswer(
            found=True,
            origin=fleet_pb2.StreamOrigin(
                request=request.request,
                service=origin.service,
                software=origin.software,
            ),
        )


@contextlib.contextmanager
def fleet_server(service: FleetService, address: str) -> Iterator[grpc.Server]:
    """Serve calls of peers until the context ends."""
    with peer_server.serving(
        lambda server: fleet_pb2_grpc.add_FleetServicer_to_server(
            service, server
        ),
        address,
        'settings',
        MAX_THREAD_COUNT,
        SHUTDOWN_GRACE_S,
    ) as server:
        yield server
