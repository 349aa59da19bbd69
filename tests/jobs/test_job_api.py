"""Which daemon runs the jobs of several trainers that share targets."""

import attrs
import pytest

from chestnutshunt.deployment import deployment
from chestnutshunt.deployment import destination
from chestnutshunt.deployment import route
from chestnutshunt.deployment import route_kind
from chestnutshunt.jobs import job
from chestnutshunt.replicas import replica
from chestnutshunt_daemon.jobs import job_api
from chestnutshunt_daemon.peers import peer_info
from tests import fleet_parts

PEERS = tuple(f'p{number}' for number in range(8))


def make_api(slots, capacity, near=PEERS, **settings):
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
    return job_api.JobApi(state, None, None, None)


def make_job(model):
    return job.Job('j', 'h', '/model/', 'w', 0.0, (), 1, model)


def runners(api):
    chosen = set()
    for number in range(12):
        peer = api.preferred_peers(make_job(f'm{number}'))[0]
        chosen.add(peer.name if peer else api.state.config.name)
    return chosen


def test_one_daemon_fills_the_slots_of_a_service():
    """Runners that knew of each other only by heartbeats overfilled targets.

    A fifth of the items were refused, and which trainer got the free slots
    was a matter of luck.
    """
    assert len(runners(make_api(slots=90, capacity=1.0))) == 1


@pytest.mark.parametrize('capacity', [0.1, 0.5])
def test_small_vms_share_the_jobs_of_a_large_service(capacity):
    """A VM of a tenth of a core could not read 50 streams at once."""
    assert len(runners(make_api(slots=90, capacity=capacity))) > 1


def test_daemons_near_the_store_are_preferred():
    near = PEERS[5:]
    api = make_api(slots=90, capacity=1.0, near=near)
    api.state.note_store_read(0.03)
    assert runners(api) <= set(near)


def test_a_daemon_that_cannot_reach_the_store_hands_jobs_over():
    api = make_api(slots=90, capacity=1.0)
    api.state.note_store_read(-1.0)
    assert None not in api.preferred_peers(make_job('m'))


def test_leaving_daemons_get_no_jobs():
    api = make_api(slots=90, capacity=1.0)
    first = api.preferred_peers(make_job('m'))[0]
    if first is not None:
        api.state.peers[first.name] = attrs.evolve(first, leaving=True)
        assert api.preferred_peers(make_job('m'))[0] is not first
