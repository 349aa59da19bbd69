"""A whole daemon that serves from registered targets."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import random

import attrs

from chestnutshunt.duties import duty_platform
from chestnutshunt.jobs import job_form
from chestnutshunt.store import object_store
from chestnutshunt.weights import weight_loader
from chestnutshunt_daemon.callers import admission
from chestnutshunt_daemon.callers import caller_server
from chestnutshunt_daemon.callers import caller_watch
from chestnutshunt_daemon.callers import dialect
from chestnutshunt_daemon.callers import front_service
from chestnutshunt_daemon.callers import ready_app
from chestnutshunt_daemon import connection_pool
from chestnutshunt_daemon.fleet import cleanup_duty
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_dump
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.fleet import mirror_reader
from chestnutshunt_daemon.fleet import retirement_duty
from chestnutshunt_daemon.fleet import usage_duty
from chestnutshunt_daemon.fleet import weights_duty
from chestnutshunt_daemon import http_server
from chestnutshunt_daemon.jobs import item_runner
from chestnutshunt_daemon.jobs import job_api
from chestnutshunt_daemon.jobs import job_runner
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.peers import fleet_mesh
from chestnutshunt_daemon.peers import fleet_service
from chestnutshunt_daemon.peers import relayed_store
from chestnutshunt_daemon import supervised_thread
from chestnutshunt_daemon.targets import exchange
from chestnutshunt_daemon.targets import forwarder
from chestnutshunt_daemon.targets import stream_forwarder
from chestnutshunt_daemon.targets import target_dialect
from chestnutshunt_daemon.wire import fleet_pb2_grpc

__all__ = ['Adapter', 'FleetDaemon', 'drain', 'run_daemon']

LOG = logging.getLogger(__name__)

CONFIG_PERIOD_S = 0.6
"""Seconds; a change is in force everywhere a heartbeat later, well within
the 2.5 that the platform allows."""

TARGET_PERIOD_S = 0.6
"""Seconds; a leaving target gets nothing new a heartbeat later."""

VERSION_PERIOD_S = 0.6
"""Seconds; a step needs the version named before it about 4 seconds later."""

JOB_PERIOD_S = 1.0
"""Seconds; a job's end stops its runs within 3."""

RARE_PERIOD_S = 3.0
"""Seconds for what changes with the VMs."""

JOIN_S = 0.5
"""Seconds that a thread has left to end, within the margin below."""

STOP_MARGIN_S = 1.0
"""Seconds before the platform kills a process that is shutting down."""

LOOK_S = 0.05
"""Seconds between two looks at whether a stopping daemon is idle."""

NOTICE_S = 2.5
"""Seconds in which the balancer notices that the daemon is not ready."""


@attrs.frozen(eq=False)
class Adapter:
    """What a platform's adapter provides.

    Attributes
    ----------
    store : ObjectStore
        The platform's store.
    duties : DutyPlatform
        Takes usage reports.
    loader : WeightLoader
        Gives orders to targets.
    caller_codec : Dialect
        What callers speak.
    target_codec : TargetDialect
        What targets speak.
    """

    store: object_store.ObjectStore
    duties: duty_platform.DutyPlatform
    loader: weight_loader.WeightLoader
    caller_codec: dialect.Dialect
    target_codec: target_dialect.TargetDialect


@attrs.frozen(eq=False)
class FleetDaemon:
    """A daemon that runs.

    Attributes
    ----------
    state : FleetState
        What its parts share.
    server : CallerServer
        Serves callers.
    runner : JobRunner
        Runs jobs.
    """

    state: fleet_state.FleetState
    server: caller_server.CallerServer
    runner: job_runner.JobRunner

    @property
    def is_busy(self) -> bool:
        """True while a request or a job is being served."""
        return bool(self.server.in_flight) or any(
            not run.is_done and not run.ended.is_set()
            for run in list(self.runner.runs.values())
        )


@contextlib.contextmanager
def run_daemon(
    state: fleet_state.FleetState, adapter: Adapter
) -> Iterator[FleetDaemon]:
    """Run a daemon until the context ends."""
    config = state.config
    with contextlib.ExitStack() as stack:
        clients = peer_clients.PeerClients(fleet_pb2_grpc.FleetStub)
        stack.callback(clients.close)
        pool = connection_pool.ConnectionPool(state.clock)
        stack.callback(pool.close)
        store = relayed_store.RelayedStore(state, adapter.store, clients)
        exchanger = exchange.Exchanger(pool, adapter.target_codec, state.clock)
        chance = random.Random()
        forwards = forwarder.Forwarder(state, exchanger, chance)
        items = item_runner.ItemRunner(state, exchanger, forwards, chance)
        runner = job_runner.JobRunner(state, store, items)
        holder = duty_holder.DutyHolder(state, store)
        mesh = fleet_mesh.FleetMesh(state, store, clients)
        watch = caller_watch.CallerWatch()
        watch.start()
        stack.callback(watch.stop)
        service = fleet_service.FleetService(state, adapter.store, runner)
        stack.enter_context(
            fleet_service.fleet_server(service, config.peer_address)
        )
        loops: dict[str, Callable[[], None]] = {
            'mesh': mesh.run,
            'pulls': mesh.run_pulls,
            'duties': holder.run,
            'dispatch': runner.dispatch,
            'jobs': runner.review,
            'weights': weights_duty.WeightsDuty(
                state, holder, adapter.loader
            ).run,
            'usage': usage_duty.UsageDuty(
                state, holder, store, adapter.duties
            ).run,
            'cleanup': cleanup_duty.CleanupDuty(state, holder, store).run,
            'retirements': retirement_duty.RetirementDuty(
                state, holder, store
            ).run,
        }
        for kind, period in periods(state).items():
            reader = mirror_reader.MirrorReader(
                state, adapter.store, kind, period
            )
            loops[f'read-{kind}'] = reader.run
        for name, run in loops.items():
            stack.enter_context(
                supervised_thread.supervised_thread(
                    state.stopped, run, name, JOIN_S
                )
            )
        front = front_service.FrontService(
            state,
            adapter.caller_codec,
            admission.Admission(state, config.revoke_s),
            forwards,
            stream_forwarder.StreamForwarder(state, exchanger, chance),
            job_api.JobApi(state, store, runner, clients),
            watch,
        )
        ready = ready_app.ReadyApplication(
            state, lambda: fleet_dump.dump(state, holder, runner)
        )
        addresses = {config.ready_address, config.metrics_address} - {''}
        for address in sorted(addresses):
            stack.enter_context(
                http_server.http_server(address, ready, 2, 'ready_address')
            )
        server = stack.enter_context(
            caller_server.caller_server(
                config.caller_address,
                front.handle,
                config.threads,
                state.clock,
            )
        )
        mirror = state.mirrors[state.schema.config_kind]
        mirror.listeners.append(lambda: apply_limits(state, server))
        apply_limits(state, server)
        LOG.info(
            'Daemon started',
            extra={'vm': config.name, 'incarnation': state.incarnation},
        )
        # All threads end beside each other before they are waited for.
        stack.callback(state.stopped.set)
        yield FleetDaemon(state, server, runner)


def periods(state: fleet_state.FleetState) -> dict[str, float]:
    """Return how often each kind is read."""
    forms = state.schema
    return {
        forms.config_kind: CONFIG_PERIOD_S,
        forms.replica_kind: TARGET_PERIOD_S,
        forms.version_kind: VERSION_PERIOD_S,
        job_form.JOB_KIND: JOB_PERIOD_S,
        forms.retirement_kind: RARE_PERIOD_S,
        fleet_state.DAEMON_KIND: RARE_PERIOD_S,
    }


def apply_limits(
    state: fleet_state.FleetState, server: caller_server.CallerServer
) -> None:
    """Apply the operator's limits to new connections."""
    if state.deployment is not None:
        limits = state.deployment.limits
        server.allow(
            limits.idle_timeout_s, limits.header_bytes, limits.body_bytes
        )


def drain(daemon: FleetDaemon) -> None:
    """Serve what is open, take nothing new, and return before the kill."""
    state = daemon.state
    began = state.clock.monotonic()
    state.leaving.set()
    daemon.server.leaving.set()
    LOG.info('Daemon stopping', extra={'in_flight': daemon.server.in_flight})
    state.wake_peers()
    end = began + state.config.stop_s - STOP_MARGIN_S
    while state.clock.monotonic() < end:
        noticed = state.clock.monotonic() - began > NOTICE_S
        if noticed and not daemon.is_busy:
            break
        state.clock.sleep(LOOK_S)
    LOG.info('Daemon stopped', extra={'in_flight': daemon.server.in_flight})
