"""Targets that load older weights while daemons run items there."""

import json

from chestnutshunt_standins import cluster
from tests import fake_target
from tests.faults import test_fleet

fleet = test_fleet.fleet

MINIMUM = 3


def generate(version, after):
    """Return a step that goes on with other weights after two events."""

    def step(connection, fields):
        first = int(fields.get('last-event-id', 0)) + 1
        fake_target.events(
            *range(first, 3), complete=None, version=max(version, MINIMUM)
        )(connection, fields)
        for number in range(max(first, 3), 7):
            named = after if number == 3 else None
            fake_target.send_event(connection, number, version=named)
        connection.sendall(b'0\r\n\r\n')

    return step


def submit(daemon):
    job = json.loads(test_fleet.job_body(6)) | {'minVersion': MINIMUM}
    answer = daemon.call('POST', '/model/', json.dumps(job), 'j1')
    assert answer.status == 202


def versions_of_results(daemon):
    found = test_fleet.wait_listed(daemon, 'j1', 6)['results']
    expected = '\n'.join(f'd{number}' for number in range(1, 7))
    assert {x['text'] for x in found} == {expected}
    return [x['versions'] for x in found]


# Guards against VERSION: a late order made a target load older weights under
# running texts, and these were listed with them.
def test_results_have_no_version_below_the_minimum(fleet):
    step = generate(MINIMUM, MINIMUM - 1)
    old = fleet.target('t1', 'model', step, version=MINIMUM)
    daemons = fleet.start(3)
    submit(daemons[0])
    cluster.wait_until(lambda: old.heads, 'an item runs')
    fleet.target('t2', 'model', generate(MINIMUM, None), version=MINIMUM)
    assert versions_of_results(daemons[1]) == [[MINIMUM]] * 6
    # The texts went on at the other target.
    assert any(
        x['target'] == 't2' and x['after'] == 2
        for daemon in daemons
        for x in daemon.log_events('Item run')
    )


def test_texts_go_on_with_newer_weights(fleet):
    step = generate(MINIMUM, MINIMUM + 1)
    fleet.target('t1', 'model', step, version=MINIMUM)
    daemons = fleet.start(3)
    submit(daemons[0])
    assert versions_of_results(daemons[1]) == [[MINIMUM, MINIMUM + 1]] * 6
