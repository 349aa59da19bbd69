"""Which daemon runs the jobs of several trainers that share targets."""

import attrs
import pytest

from chestnutshunt.deployment import deployment
from chestnutshunt.deployment import destination
from chestnutshunt.deployment import route
from chestnutshunt.deployment import route_kind
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_codec
from chestnutshunt.replicas import replica
from chestnutshunt_daemon.jobs import job_runner
from chestnutshunt_daemon.peers import peer_info
from tests import fleet_parts

PEERS = tuple(f'p{number}' for number in range(8))


def make_runner(slots, capacity, near=PEERS, **settings):
    state = fleet_parts.make_state(
        processor_share=capacity, processor_count=1.0, **settings
    )
    state.deployment = deployment.Deployment(
        1,
        (
            route.Route(
                'model',
                'h',
                '/model/',
                route_kind.RouteKind.JOBS,
                goal_s=1.0,
                open=True,
                destinations=(destination.Destination('model'),),
            ),
        ),
        {},
    )
    state.note_store_read(0.004)
    fleet_parts.register(
        state, replica.Replica('t1', 'model', '127.0.0.1:1', 'a', slots)
    )
    for name in PEERS:
        state.peers[name] = peer_info.PeerInfo(
            name,
            'i',
            'a',
            f'{name}:1',
            False,
            False,
            frozenset(),
            0.004 if name in near else 0.03,
            state.clock.monotonic(),
        )
    return job_runner.JobRunner(state, None, None)


def make_job(model):
    return job.Job('j', 'h', '/model/', 'w', 0.0, (), 1, model)


def runners(runner):
    chosen = set()
    for number in range(12):
        peer = runner.preferred_peers(make_job(f'm{number}'))[0]
        chosen.add(peer.name if peer else runner.state.config.name)
    return chosen


def test_one_daemon_fills_the_slots_of_a_service():
    """Runners that knew of each other only by heartbeats overfilled targets.

    A fifth of the items were refused, and which trainer got the free slots
    was a matter of luck.
    """
    assert len(runners(make_runner(slots=90, capacity=1.0))) == 1


@pytest.mark.parametrize('capacity', [0.1, 0.5])
def test_small_vms_share_the_jobs_of_a_large_service(capacity):
    """A VM of a tenth of a core could not read 50 streams at once."""
    assert len(runners(make_runner(slots=90, capacity=capacity))) > 1


def test_daemons_near_the_store_are_preferred():
    near = PEERS[5:]
    runner = make_runner(slots=90, capacity=1.0, near=near)
    runner.state.note_store_read(0.03)
    assert runners(runner) <= set(near)


def test_a_daemon_that_cannot_reach_the_store_hands_jobs_over():
    runner = make_runner(slots=90, capacity=1.0)
    runner.state.note_store_read(-1.0)
    assert None not in runner.preferred_peers(make_job('m'))


def test_leaving_daemons_get_no_jobs():
    runner = make_runner(slots=90, capacity=1.0)
    first = runner.preferred_peers(make_job('m'))[0]
    if first is not None:
        runner.state.peers[first.name] = attrs.evolve(first, leaving=True)
        assert runner.preferred_peers(make_job('m'))[0] is not first


def test_the_runner_of_a_service_takes_over_its_jobs():
    """After a fault several daemons filled the same targets.

    Each took over some of the open jobs, found by the job's id.
    """
    jobs = [
        job_codec.encode_job(make_job(f'm{number}'), 1, ended=False)
        for number in range(12)
    ]
    runner = make_runner(slots=90, capacity=1.0)
    first = runner.preferred_peers(make_job('m0'))[0]
    for value in jobs:
        assert runner.is_successor(value) is (first is None)
    while runner.preferred_peers(make_job('m0'))[0] is not None:
        lost = runner.preferred_peers(make_job('m0'))[0]
        del runner.state.peers[lost.name]
    assert all(runner.is_successor(value) for value in jobs)
