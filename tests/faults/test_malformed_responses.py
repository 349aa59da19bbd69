"""Daemons run as processes while half of the targets send malformed heads."""

from concurrent import futures
import random

from tests import fake_target
from tests.faults import test_fleet
from tests import response_heads
from tests.targets import test_cut_off_answers
from tests.targets import test_malformed_heads

fleet = test_fleet.fleet

SEED = 35
GOOD_SHARE = 0.5
CALLER_COUNT = 8
REQUEST_COUNT = 400
ITEM_COUNT = 40
EVENTS = b''.join(b'id: %d\ndata: d%d\n\n' % (n, n) for n in (1, 2, 3, 4))


def unreliable(good, seed):
    """Return a step that sends a malformed head every other time.

    A target that did nothing else would soon get no more requests.
    """
    rng = random.Random(seed)
    steps = [
        step
        for group in response_heads.GROUPS
        for _, step in test_malformed_heads.cases(group)
    ]

    def step(connection, fields):
        bad = rng.choice(steps)
        (good if rng.random() < GOOD_SHARE else bad)(connection, fields)

    return step


def add_targets(fleet, service, good):
    """Add as many good targets as bad ones, and return these."""
    for number in range(2):
        fleet.target(f'good{number}', service, good)
    return [
        fleet.target(f'bad{number}', service, unreliable(good, SEED + number))
        for number in range(2)
    ]


def call_all(daemons, path):
    """Return what callers get that send requests at the same time."""

    def call(number):
        daemon = daemons[number % len(daemons)]
        body = b'%d' % (number % 5)
        answer = daemon.call('POST', path, body, f'q{number}')
        return answer.status, answer.data

    with futures.ThreadPoolExecutor(CALLER_COUNT) as callers:
        return set(callers.map(call, range(REQUEST_COUNT)))


# Guards against MIXED, and against DENIED: requests refused as the cause of
# crashes.
def test_requests_get_right_answers(fleet):
    bad = add_targets(fleet, 'app', fake_target.respond(200, b'right'))
    assert call_all(fleet.start(2), '/app/x') == {(200, b'right')}
    assert all(target.heads for target in bad)


def test_streams_are_whole(fleet):
    bad = add_targets(fleet, 'text', test_cut_off_answers.rest_after)
    assert call_all(fleet.start(2), '/text/x') == {(200, EVENTS)}
    assert all(target.heads for target in bad)


def test_items_are_whole(fleet):
    add_targets(fleet, 'model', test_cut_off_answers.rest_after)
    daemons = fleet.start(2)
    body = test_fleet.job_body(ITEM_COUNT)
    assert daemons[0].call('POST', '/model/', body, 'j1').status == 202
    page = test_fleet.wait_listed(daemons[1], 'j1', ITEM_COUNT)
    listed = {(x['state'], x['text']) for x in page['results']}
    assert listed == {('complete', 'd1\nd2\nd3\nd4')}
