"""Which daemon runs the jobs of several trainers that share targets."""

import attrs
import pytest

from chestnutshunt.deployment import deployment
from chestnutshunt.deployment import destination
from chestnutshunt.deployment import route
from chestnutshunt.deployment import route_kind
from chestnutshunt.jobs import item
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_codec
from chestnutshunt.replicas import replica
from chestnutshunt_daemon.jobs import job_api
from chestnutshunt_daemon.jobs import job_runner
from chestnutshunt_daemon.peers import peer_info
from tests import fleet_parts

PEERS = tuple(f'p{number}' for number in range(8))


def make_item(number):
    return item.Item(f'i{number}', '/model/', {}, b'x', 'g', 0, None)


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


def make_job(model, items=0, name='j'):
    members = tuple(make_item(number) for number in range(items))
    return job.Job(name, 'h', '/model/', 'w', 0.0, members, 1, model)


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


# Guards against LOST: a daemon kept a job of which it could not run all
# items, and slots of targets idled that another daemon could have filled.
@pytest.mark.parametrize(
    ('slots', 'running', 'fits'),
    [
        (400, 0, True),
        (400, 60, True),
        (400, 61, False),
        (160, 400, True),
    ],
)
def test_a_daemon_takes_no_job_that_leaves_slots_idle(slots, running, fits):
    runner = make_runner(slots=slots, capacity=1.0, memory_mb=96)
    if running:
        earlier = make_job('m', running, name='earlier')
        runner.runs['earlier'] = runner.make_run(earlier)
    assert runner.has_room(make_job('m', 100)) is fits


class HandOverLog(job_api.JobApi):
    """Records to which peers jobs are handed over; they take them."""

    def hand_over(self, peer, job):
        self.handed_over = peer.name
        return True


def test_a_job_beyond_the_own_threads_is_handed_over():
    runner = make_runner(slots=400, capacity=10.0, memory_mb=96)
    while runner.preferred_peers(make_job('m'))[0] is not None:
        first = runner.preferred_peers(make_job('m'))[0]
        del runner.state.peers[first.name]
    _, second, *_ = runner.preferred_peers(make_job('m'))
    api = HandOverLog(runner.state, None, runner, None)
    api.assign(make_job('m', 161))
    assert api.handed_over == second.name
    assert not runner.runs
