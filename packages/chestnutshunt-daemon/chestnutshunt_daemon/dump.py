"""Dumps the state of a daemon as JSON values, without any secret."""

import collections
import threading
from typing import Any

import attrs

from chestnutshunt_daemon import node

__all__ = ['dump']

MAX_ATTEMPT_COUNT = 200

WITHOUT_DIGITS = str.maketrans('', '', '0123456789')


def dump(state: node.Node) -> dict[str, Any]:
    """Return the state of the daemon and its view of the system."""
    return {
        'member': attrs.asdict(state.own),
        'draining': state.draining.is_set(),
        'in_flight': state.in_flight,
        'threads': threading.active_count(),
        'threads_by_name': count_threads(),
        'platform_age_ms': state.freshness.age_ms(),
        'usage_copies': state.usage.copy_count,
        'platform_calls': state.store.calls,
        'config': dump_config(state),
        'peers': dump_peers(state),
        'targets': dump_targets(state),
        'queues': dump_queues(state),
        'attempts': dump_attempts(state),
        'limits': {
            name: {
                'limit': item.limit.encode(),
                'holding': item.holding.encode(),
                'demand': item.demand.encode(),
                'in_flight': item.in_flight,
            }
            for name, item in list(state.limits.share_limiters.items())
        },
        'coordinates': dump_runs(state),
        'budgets': {
            '/'.join(key): round(budget.balance, 2)
            for key, budget in list(state.budgets.items())
        },
        'quarantine': state.quarantine.snapshot(),
        'ledger': {
            str(shard): {
                'next_number': log.next_number,
                'entries': len(log.entries),
                'writes': log.writes,
                'conflicts': log.conflicts,
            }
            for shard, log in list(state.ledger.shard_logs.items())
        },
    }


def count_threads() -> dict[str, int]:
    """Return the number of threads by name, without numbers."""
    names = (
        thread.name.translate(WITHOUT_DIGITS)
        for thread in threading.enumerate()
    )
    return dict(collections.Counter(names))


def dump_config(state: node.Node) -> dict[str, Any]:
    """Return the versions of the settings in force, and refused nodes."""
    return {
        'revision': state.mirror.revision,
        'nodes': {
            path: item.version
            for path, item in sorted(state.config_view.tree.nodes.items())
        },
        'refused': state.config_view.refused,
    }


def dump_peers(state: node.Node) -> list[dict[str, Any]]:
    """Return the known peers and the seconds since each was heard."""
    now = state.clock.monotonic()
    return [
        {
            'name': item.peer.name,
            'datacentre': item.peer.datacentre,
            'address': item.peer.address,
            'incarnation': item.peer.incarnation,
            'live': state.directory.is_live(item),
            'leaving': item.leaving,
            'silent_s': round(now - item.heard_at, 2)
            if item.heard_at
            else None,
        }
        for item in state.directory.known_peers()
    ]


def dump_targets(state: node.Node) -> list[dict[str, Any]]:
    """Return the listed targets with their load as known here."""
    targets = []
    for item in state.mirror.objects_of_kind('target'):
        load = state.load_view.load_of(item.name)
        targets.append(
            {
                'name': item.name,
                'service': item.value.get('service'),
                'datacentre': item.value.get('datacentre'),
                'state': item.value.get('state'),
                'in_flight_here': load.own_in_flight,
                'in_flight': state.load_view.in_flight(item.name),
                'ejected': not load.circuit_breaker.allows_requests(),
            }
        )
    return targets


def dump_queues(state: node.Node) -> dict[str, Any]:
    """Return the slots and waiting requests of each service."""
    return {
        service: {
            'slots': queue.slots,
            'in_flight': queue.in_flight,
            'waiting': dict(queue.waiting_counts),
            'service_time_s': round(queue.service_time_s, 4),
        }
        for service, queue in list(state.queues.items())
    }


def dump_attempts(state: node.Node) -> dict[str, Any]:
    """Return the running attempts that a resent request can join."""
    running = list(state.attempts.attempts.values())[:MAX_ATTEMPT_COUNT]
    return {
        'running': [
            {
                'identity': item.identity,
                'nonce': item.nonce,
                'state': item.state.value,
                'bytes': item.kept_bytes,
            }
            for item in running
        ],
        'kept': len(state.attempts.finished_attempts),
        'kept_bytes': state.attempts.finished_bytes,
    }


def dump_runs(state: node.Node) -> dict[str, Any]:
    """Return the state of the runs that this daemon coordinates."""
    return {
        run: {
            'held': item.duty_lease.is_held,
            'orphaned': item.duty_lease.is_orphaned,
            'fence': item.duty_lease.fence,
            'cursor': item.cursor,
            'made': sorted(item.ready_steps),
            'version': item.newest_version(),
            'loaded': dict(item.loader.loaded_versions),
        }
        for run, item in list(state.coordinators.items())
    }
