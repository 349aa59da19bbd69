"""State dump of a daemon that serves from registered targets."""

from typing import Any

from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.jobs import job_run
from chestnutshunt_daemon.jobs import job_runner
from chestnutshunt_daemon.peers import origin_recorder
from chestnutshunt_daemon.peers import origin_relay

__all__ = ['dump']


def dump(
    state: fleet_state.FleetState,
    holder: duty_holder.DutyHolder,
    runner: job_runner.JobRunner,
    relay: origin_relay.OriginRelay,
    recorder: origin_recorder.OriginRecorder,
    budget: client_budget.ClientBudget,
) -> dict[str, Any]:
    """Return the daemon's state as JSON values; ages are in seconds."""
    deployment = state.deployment
    now = state.clock.monotonic()
    return {
        'name': state.config.name,
        'incarnation': state.incarnation,
        'datacentre': state.config.datacentre,
        'leaving': state.leaving.is_set(),
        'configuration': {
            'version': deployment.version if deployment else None,
            'age_s': round(state.config_age_s(), 3) if deployment else None,
            'routes': (
                sorted(x.name for x in deployment.routes) if deployment else []
            ),
            'workspaces': (
                sorted(set(deployment.keys.values())) if deployment else []
            ),
        },
        'store_read_s': round(state.store_read_s, 4),
        'duties': {
            'held_here': state.is_holder(),
            'holder': holder_name(state),
            'fence': holder.lease.fence,
        },
        'hub': state.is_hub,
        'registered': len(state.topology.members),
        'peers': [
            {
                'name': peer.name,
                'datacentre': peer.datacentre,
                'heard_s_ago': round(now - peer.heard_at, 3),
                'leaving': peer.leaving,
                'hub': peer.hub,
                'relayed': peer.relayed,
                'store_read_s': round(peer.store_read_s, 4),
            }
            for peer in sorted(state.peers.values(), key=lambda x: x.name)
        ],
        'targets': [
            {
                'id': target.id,
                'service': target.service,
                'datacentre': target.datacentre,
                'leaving': state.replicas.is_leaving(target),
                'load': state.replicas.load(target),
                'slots': target.slots,
                'sound': state.replicas.is_healthy(target),
                'versions': state.replicas.with_versions(target).versions,
                'software': target.software,
                'rate_limit': state.rate_gate.limits.rate(target),
            }
            for target in sorted(state.replicas.list_all(), key=lambda x: x.id)
        ],
        'software': {
            stored.name: stored.value
            for stored in state.mirrors[fleet_state.SOFTWARE_KIND].values()
        },
        'streams': {
            'known': len(state.origins.table),
            'unsent': len(relay.unsent),
            'unwritten': len(recorder.unwritten),
        },
        'clients': budget.dump(),
        'jobs': [dump_run(run) for run in list(runner.runs.values())],
        'usage': state.counts.own_totals(),
    }


def holder_name(state: fleet_state.FleetState) -> str:
    """Return the name of the holder of the duties; empty if unknown."""
    if state.is_holder():
        return state.config.name
    return next((x.name for x in state.live_peers() if x.holder), '')


def dump_run(run: job_run.JobRun) -> dict[str, Any]:
    """Return the progress of a job."""
    item_states = list(run.item_states.values())
    return {
        'id': run.job.id,
        'step': run.job.step,
        'model': run.job.model,
        'minimum_version': run.job.minimum_version,
        'items': len(item_states),
        'listed': len(run.result_log.results),
        'running': sum(item.running for item in item_states),
        'ended': run.ended.is_set(),
    }
