"""Assembles and runs a daemon that serves from registered targets."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import random

import attrs

from chestnutshunt.duties import duty_platform
from chestnutshunt.jobs import job_codec
from chestnutshunt.store import object_store
from chestnutshunt.weights import weight_loader
from chestnutshunt_daemon import allocator
from chestnutshunt_daemon.callers import admission
from chestnutshunt_daemon.callers import caller_codec
from chestnutshunt_daemon.callers import caller_server
from chestnutshunt_daemon.callers import caller_watch
from chestnutshunt_daemon.callers import front_service
from chestnutshunt_daemon.callers import ready_app
from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_daemon import connection_pool
from chestnutshunt_daemon.fleet import cleanup_duty
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_dump
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.fleet import mirror_reader
from chestnutshunt_daemon.fleet import retirement_duty
from chestnutshunt_daemon.fleet import software_duty
from chestnutshunt_daemon.fleet import usage_duty
from chestnutshunt_daemon.fleet import weights_duty
from chestnutshunt_daemon import http_server
from chestnutshunt_daemon.jobs import item_runner
from chestnutshunt_daemon.jobs import job_api
from chestnutshunt_daemon.jobs import job_runner
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import fleet_mesh
from chestnutshunt_daemon.peers import fleet_service
from chestnutshunt_daemon.peers import origin_reader
from chestnutshunt_daemon.peers import origin_recorder
from chestnutshunt_daemon.peers import origin_relay
from chestnutshunt_daemon.peers import permit_broker
from chestnutshunt_daemon.peers import permit_client
from chestnutshunt_daemon.peers import relayed_store
from chestnutshunt_daemon import supervised_thread
from chestnutshunt_daemon.targets import exchange
from chestnutshunt_daemon.targets import forwarder
from chestnutshunt_daemon.targets import process_check
from chestnutshunt_daemon.targets import stream_forwarder
from chestnutshunt_daemon.targets import target_codec
from chestnutshunt_daemon.wire import fleet_pb2_grpc

__all__ = ['Adapter', 'FleetDaemon', 'drain', 'run_daemon']

LOG = logging.getLogger(__name__)

# A change is in force on all daemons one heartbeat later, well within the
# 2.5 s that the platform allows.
CONFIG_PERIOD_S = 0.6

# A leaving target gets no new requests one heartbeat later.
TARGET_PERIOD_S = 0.6

# A step needs the weight version announced before it about 4 s later.
VERSION_PERIOD_S = 0.6

# The runs of a job stop within 3 s of its end.
JOB_PERIOD_S = 1.0

# For objects that change only when VMs come and go.
VM_PERIOD_S = 3.0

# Time for a thread to end; must fit into `STOP_MARGIN_S`.
THREAD_JOIN_S = 0.5

# Draining ends this long before the platform kills the process.
STOP_MARGIN_S = 1.0

# Time to answer the requests that are open at the end of the drain; a part of
# `STOP_MARGIN_S`.
ANSWER_S = 0.3

# Time between two checks of whether a draining daemon is idle.
DRAIN_POLL_S = 0.05

# Readiness, metrics and dumps: requests served at one time, and the largest
# body, which nothing reads.
READY_THREAD_COUNT = 2
MAX_READY_BODY_BYTES = 65_536

# Time in which the load balancer notices that a daemon is not ready.
READINESS_DELAY_S = 2.5


@attrs.frozen(eq=False)
class Adapter:
    """Clients and codecs of a platform.

    Attributes
    ----------
    store : ObjectStore
        Client of the platform's store.
    duties : DutyPlatform
        Client that sends usage reports.
    loader : WeightLoader
        Client that sends load orders to targets.
    caller_codec : CallerCodec
        Decodes requests of callers and encodes the responses.
    target_codec : TargetCodec
        Encodes headers of requests to targets and decodes the responses.
    """

    store: object_store.ObjectStore
    duties: duty_platform.DutyPlatform
    loader: weight_loader.WeightLoader
    caller_codec: caller_codec.CallerCodec
    target_codec: target_codec.TargetCodec


@attrs.frozen(eq=False)
class FleetDaemon:
    """A running daemon.

    Attributes
    ----------
    state : FleetState
        Shared state of its parts.
    server : CallerServer
        HTTP server for callers.
    runner : JobRunner
        Runs jobs.
    front : FrontService
        Handles the requests of callers.
    """

    state: fleet_state.FleetState
    server: caller_server.CallerServer
    runner: job_runner.JobRunner
    front: front_service.FrontService

    @property
    def is_busy(self) -> bool:
        """True while a request is served or a job runs."""
        return bool(self.server.in_flight) or any(
            not run.is_done and not run.ended.is_set()
            for run in list(self.runner.runs.values())
        )


@contextlib.contextmanager
def run_daemon(
    state: fleet_state.FleetState, adapter: Adapter
) -> Iterator[FleetDaemon]:
    """Run a daemon until the context ends."""
    allocator.return_large_blocks()
    config = state.config
    with contextlib.ExitStack() as stack:
        clients = peer_clients.PeerClients(fleet_pb2_grpc.FleetStub)
        stack.callback(clients.close)
        pool = connection_pool.ConnectionPool(state.clock)
        stack.callback(pool.close)
        state.replicas.has_connection = pool.has_idle
        store = relayed_store.RelayedStore(state, adapter.store, clients)
        check = process_check.ProcessCheck(state, store)
        state.replicas.is_current = check.is_current
        exchanger = exchange.Exchanger(
            pool,
            adapter.target_codec,
            state.clock,
            state.rate_gate,
            state.replicas,
        )
        rng = random.Random()
        forwards = forwarder.Forwarder(state, exchanger, rng)
        items = item_runner.ItemRunner(state, exchanger, forwards, rng)
        runner = job_runner.JobRunner(state, store, items)
        holder = duty_holder.DutyHolder(state, store)
        mesh = fleet_mesh.FleetMesh(state, store, clients)
        watch = caller_watch.CallerWatch()
        watch.start()
        stack.callback(watch.stop)
        relay = origin_relay.OriginRelay(state, clients)
        recorder = origin_recorder.OriginRecorder(state, store)
        relay.record = recorder.add
        reader = origin_reader.OriginReader(state, store)
        relay.find_recorded = reader.find_for_leaf
        state.origins.find_recorded = reader.find
        broker = permit_broker.PermitBroker(state, clients)
        service = fleet_service.FleetService(
            state, adapter.store, runner, broker, relay
        )
        stack.enter_context(
            fleet_service.fleet_server(service, config.peer_address)
        )
        loops: dict[str, Callable[[], None]] = {
            'mesh': mesh.run,
            'leaf-links': mesh.leaf_links.run,
            'permits': permit_client.PermitClient(state, clients, broker).run,
            'origins': relay.run,
            'recorder': recorder.run,
            'duties': holder.run,
            'dispatch': runner.dispatch,
            'jobs': runner.review,
            'weights': weights_duty.WeightsDuty(
                state, holder, adapter.loader
            ).run,
            'usage': usage_duty.UsageDuty(
                state, holder, store, adapter.duties
            ).run,
            'software': software_duty.SoftwareDuty(state, holder, store).run,
            'cleanup': cleanup_duty.CleanupDuty(state, holder, store).run,
            'retirements': retirement_duty.RetirementDuty(
                state, holder, store
            ).run,
        }
        for number in range(fleet_mesh.PULL_THREAD_COUNT):
            loops[f'pulls-{number}'] = mesh.run_pulls
        for kind, period_s in read_periods_s(state).items():
            loops[f'read-{kind}'] = mirror_reader.MirrorReader(
                state, adapter.store, kind, period_s
            ).run
        for name, run in loops.items():
            stack.enter_context(
                supervised_thread.supervised_thread(
                    state.stopped, run, name, THREAD_JOIN_S
                )
            )
        front = front_service.FrontService(
            state,
            adapter.caller_codec,
            admission.Admission(state, config.revoke_s),
            forwards,
            stream_forwarder.StreamForwarder(state, exchanger, rng),
            job_api.JobApi(state, store, runner, clients),
            watch,
        )
        budget = make_budget(state, runner)
        ready = ready_app.ReadyApplication(
            state,
            lambda: fleet_dump.dump(
                state, holder, runner, relay, recorder, budget
            ),
        )
        addresses = {config.ready_address, config.metrics_address} - {''}
        for address in sorted(addresses):
            stack.enter_context(
                http_server.http_server(
                    address,
                    ready,
                    READY_THREAD_COUNT,
                    'ready_address',
                    budget,
                    MAX_READY_BODY_BYTES,
                )
            )
        server = stack.enter_context(
            caller_server.caller_server(
                config.caller_address,
                front.handle,
                config.caller_threads,
                state.clock,
                budget,
                front.is_job,
            )
        )
        mirror = state.mirrors[state.schema.config_kind]
        mirror.listeners.append(lambda: apply_limits(state, server))
        apply_limits(state, server)
        LOG.info(
            'Daemon started',
            extra={'vm': config.name, 'incarnation': state.incarnation},
        )
        # Signals all threads to end before any of them is joined.
        stack.callback(state.stopped.set)
        yield FleetDaemon(state, server, runner, front)


def make_budget(
    state: fleet_state.FleetState, runner: job_runner.JobRunner
) -> client_budget.ClientBudget:
    """Return the budget of all that the clients of a daemon hold."""
    budget = client_budget.ClientBudget(
        state.config.client_memory_bytes, state.clock
    )
    budget.reserved_bytes = runner.held_bytes
    closed = state.metrics.clients_closed
    budget.on_closed = lambda short: closed.labels(short).inc()
    return budget


def read_periods_s(state: fleet_state.FleetState) -> dict[str, float]:
    """Return the seconds between two reads of each kind."""
    schema = state.schema
    return {
        schema.config_kind: CONFIG_PERIOD_S,
        schema.replica_kind: TARGET_PERIOD_S,
        schema.version_kind: VERSION_PERIOD_S,
        job_codec.JOB_KIND: JOB_PERIOD_S,
        schema.retirement_kind: VM_PERIOD_S,
        fleet_state.DAEMON_KIND: VM_PERIOD_S,
        fleet_state.SOFTWARE_KIND: VM_PERIOD_S,
    }


def apply_limits(
    state: fleet_state.FleetState, server: caller_server.CallerServer
) -> None:
    """Apply the limits of the configuration to new connections."""
    if state.deployment is not None:
        limits = state.deployment.limits
        server.apply_limits(
            limits.idle_timeout_s,
            limits.header_timeout_s,
            limits.header_bytes,
            limits.body_bytes,
        )


def drain(daemon: FleetDaemon) -> None:
    """Finish open requests and runs, and accept none that could not finish.

    Returns when the daemon is idle, at the latest `STOP_MARGIN_S` before the
    platform kills the process. Requests that are open then are answered with
    an error.
    """
    state = daemon.state
    started_at = state.clock.monotonic()
    state.stop_at = started_at + state.config.stop_s - STOP_MARGIN_S
    state.leaving.set()
    daemon.server.draining.set()
    LOG.info('Daemon stopping', extra={'in_flight': daemon.server.in_flight})
    state.wake_peers()
    while state.clock.monotonic() < state.stop_at:
        delay_elapsed = (
            state.clock.monotonic() - started_at > READINESS_DELAY_S
        )
        if delay_elapsed and not daemon.is_busy:
            break
        state.clock.sleep(DRAIN_POLL_S)
    daemon.front.stop_requests()
    answered_at = state.clock.monotonic() + ANSWER_S
    while daemon.server.in_flight and state.clock.monotonic() < answered_at:
        state.clock.sleep(DRAIN_POLL_S)
    LOG.info('Daemon stopped', extra={'in_flight': daemon.server.in_flight})
