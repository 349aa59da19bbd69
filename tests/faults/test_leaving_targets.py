"""Requests to targets that say in their responses that they are leaving.

Their registrations still say that they are ready.
"""

import json
import time

import pytest

from chestnutshunt_standins import cluster
from tests import fake_target
from tests.faults import test_fleet
from tests.faults import test_rate_limits

fleet = test_fleet.fleet

# Rule of the platform: time for which a daemon may go on sending requests.
DRAIN_S = 2.5
TRAFFIC_S = 4.0

# Further requests that tell whether a target is used again.
REQUEST_COUNT = 20


def late_requests(target):
    """Return the requests that came too late from the daemon that sent them.

    The ids of requests name their daemon.
    """
    first_at = {}
    late = []
    for (_, fields), at in zip(target.heads, target.times, strict=True):
        request_id = fields['x-request-id']
        daemon = request_id.partition('-')[0]
        if at > first_at.setdefault(daemon, at) + DRAIN_S:
            late.append(request_id)
    return late


# Guards against DRAIN: requests went on to targets that were leaving, since
# only registrations counted.
def test_requests_do_not_go_to_a_target_that_says_that_it_leaves(fleet):
    leaving = fleet.target('t1', 'app', fake_target.respond(Server_Leaving=1))
    staying = fleet.target('t2', 'app', fake_target.respond())
    daemons = fleet.start(3)
    with test_rate_limits.callers(daemons, '/app/x', 2) as statuses:
        time.sleep(TRAFFIC_S)
    assert leaving.heads
    assert not late_requests(leaving)
    assert len(staying.heads) > len(leaving.heads)
    assert set(statuses) == {200}


# Guards against DRAIN: the only target leaves; what it cannot serve is refused
# at once.
def test_last_target_that_leaves_is_not_used(fleet):
    leaving = fleet.target('t1', 'app', fake_target.respond(Server_Leaving=1))
    daemons = fleet.start(2)
    with test_rate_limits.callers(daemons, '/app/x', 1) as statuses:
        time.sleep(TRAFFIC_S)
    assert not late_requests(leaving)
    assert set(statuses) == {200, 503}


# Guards against DRAIN: the same for streams, whose heads come first.
def test_streams_do_not_begin_at_a_target_that_leaves(fleet):
    leaving = fleet.target(
        't1', 'text', fake_target.events(1, 2, Server_Leaving=1)
    )
    fleet.target('t2', 'text', fake_target.events(1, 2))
    daemons = fleet.start(2)
    with test_rate_limits.callers(daemons, '/text/x', 2) as statuses:
        time.sleep(TRAFFIC_S)
    assert leaving.heads
    assert not late_requests(leaving)
    assert set(statuses) == {200}


# Guards against DRAIN: items of jobs that come later.
def test_items_do_not_go_to_a_target_that_leaves(fleet):
    fleet.target(
        't1', 'model', fake_target.events(1, version=1, Server_Leaving=1)
    )
    daemons = fleet.start(2)
    # Of several items those that are not on their way would have to wait.
    body = test_fleet.job_body(1)
    assert daemons[0].call('POST', '/model/', body, 'j1').status == 202
    test_fleet.wait_listed(daemons[0], 'j1', 1)
    fleet.target('t2', 'model', fake_target.events(1, version=1))
    # Jobs may run at either daemon, and one that has not been told may send.
    # Of three jobs two run at the same one.
    for job in ('j2', 'j3'):
        time.sleep(DRAIN_S)
        later = json.loads(test_fleet.job_body(REQUEST_COUNT))
        for item in later['items']:
            item['id'] += f'-{job}'
        body = json.dumps(later).encode()
        assert daemons[0].call('POST', '/model/', body, job).status == 202
        test_fleet.wait_listed(daemons[0], job, REQUEST_COUNT)
    later_runs = 0
    for daemon in daemons:
        told = daemon.log_events('Target says that it is leaving')
        for line in daemon.log_events('Sending request') if told else ():
            if line['time'] > told[0]['time'] + DRAIN_S:
                assert line['target'] == 't2'
                later_runs += 1
    assert later_runs >= REQUEST_COUNT


# Guards against lost capacity: the process that follows under the same id is
# not leaving.
@pytest.mark.parametrize('registers_again', [False, True])
def test_next_process_of_a_target_is_used(fleet, registers_again):
    target = fleet.target(
        't1',
        'app',
        fake_target.respond(Server_Leaving=1),
        fake_target.respond(),
    )
    (daemon,) = fleet.start(1)
    assert daemon.call('GET', '/app/x', None, 'q0').status == 200
    if registers_again:
        # Only a later entry of the same process.
        entry = {**target.entry, 'seq': 9}
        fleet.put('servers', 't1', entry)
        time.sleep(DRAIN_S)
        for number in range(REQUEST_COUNT):
            daemon.call('GET', '/app/x', None, f'late{number}')
        assert len(target.heads) == 1
    fleet.put('servers', 't1', {**target.entry, 'born': 1700000000001})
    cluster.wait_until(
        lambda: daemon.call('GET', '/app/x', None, 'q1').status == 200,
        'the next process is used',
    )
    assert daemon.log_events('Target says that it is leaving')


# Guards against lost capacity: the process that has the address now speaks of
# itself, and has not run the request.
def test_another_process_at_the_address_does_not_speak_for_a_target(fleet):
    refuse = fake_target.respond(421, b'', '', Server_Leaving=1)
    fleet.target('t1', 'app', refuse, refuse, fake_target.respond())
    (daemon,) = fleet.start(1)
    cluster.wait_until(
        lambda: daemon.call('GET', '/app/x', None, 'q').status == 200,
        'the target is still used',
    )
