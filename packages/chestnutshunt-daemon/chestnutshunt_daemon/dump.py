"""State of a daemon as JSON, without any secret."""

import threading
from typing import Any

import attrs

from chestnutshunt_daemon import node

__all__ = ['dump']

MAX_ATTEMPTS = 200


def dump(held: node.Node) -> dict[str, Any]:
    """Return what the daemon holds and knows."""
    return {
        'member': attrs.asdict(held.own),
        'draining': held.draining.is_set(),
        'in_flight': held.in_flight,
        'threads': threading.active_count(),
        'platform_age_ms': held.freshness.age_ms(),
        'usage_copies': held.usage.copies,
        'platform_calls': held.store.calls,
        'config': dump_config(held),
        'peers': dump_peers(held),
        'targets': dump_targets(held),
        'queues': dump_queues(held),
        'attempts': dump_attempts(held),
        'limits': {
            name: {
                'limit': item.limit.encode(),
                'holding': item.holding.encode(),
                'demand': item.demand.encode(),
                'in_flight': item.in_flight,
            }
            for name, item in list(held.limits.keepers.items())
        },
        'coordinates': dump_runs(held),
        'budgets': {
            '/'.join(key): round(budget.balance, 2)
            for key, budget in list(held.budgets.items())
        },
        'quarantine': held.quarantine.snapshot(),
        'ledger': {
            str(shard): {
                'next_number': log.next_number,
                'entries': len(log.entries),
                'writes': log.writes,
                'conflicts': log.conflicts,
            }
            for shard, log in list(held.ledger.shard_logs.items())
        },
    }


def dump_config(held: node.Node) -> dict[str, Any]:
    """Return versions of the tree in force, and what was refused."""
    return {
        'revision': held.mirror.revision,
        'nodes': {
            path: item.version
            for path, item in sorted(held.view.tree.nodes.items())
        },
        'refused': held.view.refused,
    }


def dump_peers(held: node.Node) -> list[dict[str, Any]]:
    """Return the known peers and how long each has been silent."""
    now = held.clock.monotonic()
    return [
        {
            'name': item.peer.name,
            'datacentre': item.peer.datacentre,
            'address': item.peer.address,
            'incarnation': item.peer.incarnation,
            'live': held.directory.is_live(item),
            'leaving': item.leaving,
            'silent_s': round(now - item.heard_at, 2)
            if item.heard_at
            else None,
        }
        for item in held.directory.known_peers()
    ]


def dump_targets(held: node.Node) -> list[dict[str, Any]]:
    """Return the listed targets with their load as seen here."""
    found = []
    for item in held.mirror.objects_of_kind('target'):
        load = held.loads.load_of(item.name)
        found.append(
            {
                'name': item.name,
                'service': item.value.get('service'),
                'datacentre': item.value.get('datacentre'),
                'state': item.value.get('state'),
                'in_flight_here': load.own_in_flight,
                'in_flight': held.loads.in_flight(item.name),
                'ejected': not load.circuit_breaker.allows_requests(),
            }
        )
    return found


def dump_queues(held: node.Node) -> dict[str, Any]:
    """Return slots and waiting requests of each service."""
    return {
        service: {
            'slots': queue.slots,
            'in_flight': queue.in_flight,
            'waiting': dict(queue.waiting_counts),
            'service_time_s': round(queue.service_time_s, 4),
        }
        for service, queue in list(held.queues.items())
    }


def dump_attempts(held: node.Node) -> dict[str, Any]:
    """Return the running requests that resends can join."""
    running = list(held.attempts.attempts.values())[:MAX_ATTEMPTS]
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
        'kept': len(held.attempts.finished_attempts),
        'kept_bytes': held.attempts.finished_bytes,
    }


def dump_runs(held: node.Node) -> dict[str, Any]:
    """Return the runs that are coordinated here."""
    return {
        run: {
            'held': item.charge.is_held,
            'orphaned': item.charge.is_orphaned,
            'fence': item.charge.fence,
            'cursor': item.cursor,
            'made': sorted(item.made),
            'version': item.version(),
            'loaded': dict(item.loader.loaded),
        }
        for run, item in list(held.coordinators.items())
    }
