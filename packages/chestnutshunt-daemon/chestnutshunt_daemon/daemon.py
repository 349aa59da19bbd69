"""Builds, runs and drains a daemon."""

from collections.abc import Iterator
import contextlib
import logging
import secrets

from chestnutshunt.membership import member
from chestnutshunt import steps
from chestnutshunt.store import adapter
from chestnutshunt_daemon import admin_app
from chestnutshunt_daemon import allocator
from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_daemon import duties
from chestnutshunt_daemon import front_app
from chestnutshunt_daemon import http_server
from chestnutshunt_daemon import ledger_trimmer
from chestnutshunt_daemon import limits
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_mesh
from chestnutshunt_daemon import peer_server
from chestnutshunt_daemon import relay
from chestnutshunt_daemon import settings
from chestnutshunt_daemon import supervised_thread
from chestnutshunt_daemon import usage_counter

__all__ = ['drain', 'make_node', 'run_daemon']

LOG = logging.getLogger(__name__)

# Admin requests served at one time, and their largest body.
ADMIN_THREAD_COUNT = 4
MAX_ADMIN_BODY_BYTES = 65_536

# Time for peers and the load balancer to learn of the shutdown.
LEAVE_NOTICE_S = 1.5


def make_node(config: settings.DaemonSettings) -> node.Node:
    """Return the state of a new daemon, connected to the platform."""
    own = member.Member(
        name=config.name,
        incarnation=secrets.token_hex(6),
        datacentre=config.datacentre,
        address=config.peer_address,
        admin_address=config.admin_address,
    )
    platform = adapter.connect(config.platform_url, config.duty_url)
    return node.Node(config, platform, own)


@contextlib.contextmanager
def run_daemon(state: node.Node) -> Iterator[node.Node]:
    """Run the servers and threads of a daemon until the context ends."""
    allocator.return_large_blocks()
    config = state.config
    steps.gates.enabled = config.debug_steps
    state.limits = limits.WorkspaceLimiter(state)
    state.usage = usage_counter.UsageCounter(state)
    mesh = peer_mesh.PeerMesh(state)
    mirror_relay = relay.Relay(state)
    budget = client_budget.ClientBudget(
        config.client_memory_bytes, state.clock
    )
    closed = state.metrics.clients_closed
    budget.on_closed = lambda short: closed.labels(short).inc()
    with contextlib.ExitStack() as stack:
        stack.callback(state.connections.close)
        stack.callback(state.peer_clients.close)
        stack.enter_context(peer_server.peer_server(state))
        stack.enter_context(
            supervised_thread.supervised_thread(
                state.stopped, mesh.run, 'mesh'
            )
        )
        stack.enter_context(
            supervised_thread.supervised_thread(
                state.stopped, mirror_relay.run, 'relay'
            )
        )
        stack.enter_context(
            supervised_thread.supervised_thread(
                state.stopped, state.limits.run, 'limits'
            )
        )
        trimmer = ledger_trimmer.LedgerTrimmer(state)
        stack.enter_context(
            supervised_thread.supervised_thread(
                state.stopped, trimmer.run, 'trimmer'
            )
        )
        stack.enter_context(
            supervised_thread.supervised_thread(
                state.stopped, duties.DutyManager(state).run, 'duties'
            )
        )
        stack.enter_context(
            http_server.http_server(
                config.admin_address,
                admin_app.AdminApplication(state),
                ADMIN_THREAD_COUNT,
                'admin_address',
                budget,
                MAX_ADMIN_BODY_BYTES,
            )
        )
        stack.enter_context(
            http_server.http_server(
                config.caller_address,
                front_app.FrontApplication(state),
                config.threads,
                'caller_address',
                budget,
            )
        )
        LOG.info(
            'Daemon %s started in data centre %s',
            config.name,
            config.datacentre,
        )
        yield state


def drain(state: node.Node) -> None:
    """Refuse new requests and wait until the last one has ended."""
    LOG.info('Draining: %d requests in flight', state.in_flight)
    state.draining.set()
    peer_mesh.withdraw_member(state)
    state.clock.sleep(LEAVE_NOTICE_S)
    with state.idle_condition:
        state.idle_condition.wait_for(lambda: state.in_flight == 0)
    LOG.info('Drained: no request in flight')
