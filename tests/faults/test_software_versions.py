"""Streams that callers take up again while targets run two versions."""

import threading
import time

import pytest
import urllib3

from chestnutshunt_standins import cluster
from tests import fake_target
from tests.faults import test_fleet

fleet = test_fleet.fleet

# Tries of a caller to take one stream up that is to go on.
TRY_COUNT = 12


def first_part_or_rest(label, release):
    """Return a step that holds a stream open after two events."""

    def step(connection, fields):
        if 'last-event-id' in fields:
            fake_target.events(3, 4, label=label)(connection, fields)
            return
        fake_target.events(1, 2, complete=None, label=label)(
            connection, fields
        )
        release.wait(60)

    return step


class Stream:
    """A caller's stream, of which the first two events are read."""

    def __init__(self, daemon, name):
        self.name = name
        self.response = urllib3.PoolManager(retries=False).request(
            'POST',
            f'http://{daemon.caller}/text/x',
            headers={**test_fleet.HEADERS, 'X-Request-Id': name},
            preload_content=False,
            timeout=30.0,
        )
        assert self.response.status == 200
        data = b''
        while data.count(b'\n\n') < 2:
            data += self.response.read1()
        self.label = data.decode().split('data: ')[1][0]

    def take_up(self, daemon, tries=1):
        """Return the label of the rest, or the status of the last refusal.

        Like callers, tries again a few times when it is told to.
        """
        for turn in range(tries):
            answer = daemon.call(
                'POST',
                '/text/x',
                b'',
                f'{self.name}-again{turn}',
                Last_Event_Id='2',
                Resumes=self.name,
            )
            if answer.status != 503:
                break
            time.sleep(float(answer.headers['Retry-After']))
        if answer.status != 200:
            return answer.status
        return answer.data.decode().split('data: ')[1][0]


@pytest.fixture
def release():
    event = threading.Event()
    yield event
    event.set()


@pytest.fixture
def targets(fleet, release):
    """Two targets of each of two software versions."""
    return [
        fleet.target(
            f't-{label}{n}',
            'text',
            first_part_or_rest(label, release),
            software=label,
        )
        for label in 'ab'
        for n in range(2)
    ]


def take_up_all(streams, daemons, tries=1):
    return [
        (stream.label, stream.take_up(daemons[number % len(daemons)], tries))
        for number, stream in enumerate(streams)
    ]


def joined(pairs):
    return [x for x in pairs if x[1] in ('a', 'b') and x[0] != x[1]]


# Guards against ORDER: a caller that took a stream up at another daemon got
# the rest from a target with other software.
def test_stream_is_taken_up_at_the_software_that_began_it(fleet, targets):
    daemons = fleet.start(3)
    streams = [Stream(daemons[n % 3], f's{n}') for n in range(12)]
    assert {stream.label for stream in streams} == {'a', 'b'}
    # One more, so that each is taken up at a daemon that did not begin it.
    pairs = take_up_all(streams, daemons[1:] + daemons[:1], TRY_COUNT)
    assert joined(pairs) == []
    # While targets of their software serve, they go on.
    assert [x for x in pairs if x[1] == 503] == []


# Guards against ORDER: the daemon that began the streams is gone.
def test_streams_of_a_killed_daemon_are_taken_up(fleet, targets):
    daemons = fleet.start(3)
    streams = [Stream(daemons[0], f's{n}') for n in range(12)]
    cluster.wait_until(
        lambda: not daemons[0].dump().get('streams', {}).get('unsent'),
        'the peers know which software began the streams',
    )
    daemons[0].kill()
    pairs = take_up_all(streams, daemons[1:], TRY_COUNT)
    assert joined(pairs) == []
    assert len([x for x in pairs if x[1] == 503]) <= len(pairs) / 2


def restart_all(daemons):
    for daemon in daemons:
        daemon.kill()
    for daemon in daemons:
        daemon.restart()
    for daemon in daemons:
        cluster.wait_until(daemon.ready, f'{daemon.name} is ready')


# Guards against ORDER: after all daemons were killed at once, streams went on
# at whatever software was there.
def test_streams_are_not_joined_after_all_daemons_were_killed(fleet, targets):
    daemons = fleet.start(3)
    streams = [Stream(daemons[n % 3], f's{n}') for n in range(12)]
    restart_all(daemons)
    assert joined(take_up_all(streams, daemons)) == []


# Guards against LOST: after all daemons were killed at once, each stream was
# refused that callers took up, since nobody knew which software had begun it.
@pytest.mark.parametrize('losses', [1, 2])
def test_streams_go_on_after_all_daemons_were_killed(fleet, targets, losses):
    daemons = fleet.start(3)
    streams = [Stream(daemons[n % 3], f's{n}') for n in range(12)]
    cluster.wait_until(
        lambda: not any(x.dump()['streams'].get('unwritten') for x in daemons),
        'the origins of the streams are in the store',
    )
    for _ in range(losses):
        restart_all(daemons)
    fresh = [Stream(daemons[n % 3], f'new{n}') for n in range(6)]
    pairs = take_up_all(streams, daemons[1:] + daemons[:1], TRY_COUNT)
    assert joined(pairs) == []
    assert [x for x in pairs if x[1] == 503] == []
    assert joined(take_up_all(fresh, daemons, TRY_COUNT)) == []


# Guards against ORDER: the old software had left while all daemons were down,
# so that they found only one version.
def test_streams_of_software_that_left_are_not_joined(fleet, targets):
    daemons = fleet.start(3)
    streams = [Stream(daemons[n % 3], f's{n}') for n in range(12)]
    for daemon in daemons:
        daemon.kill()
    for n in range(2):
        stored = fleet.client.get('servers', f't-a{n}').unwrap()
        fleet.client.delete('servers', f't-a{n}', stored.version).unwrap()
    for daemon in daemons:
        daemon.restart()
    for daemon in daemons:
        cluster.wait_until(daemon.ready, f'{daemon.name} is ready')
    pairs = take_up_all(streams, daemons)
    assert joined(pairs) == []


# Streams of the only software there has been go on after all daemons were
# killed: nothing is in doubt.
def test_streams_go_on_after_a_kill_with_one_version(fleet, release):
    for n in range(2):
        fleet.target(
            f't{n}', 'text', first_part_or_rest('a', release), software='a'
        )
    daemons = fleet.start(3)

    def on_record():
        record = daemons[0].dump().get('software', {}).get('text')
        return record is not None and record['present'] == ['a']

    cluster.wait_until(on_record, 'the versions in service are on record')
    streams = [Stream(daemons[n % 3], f's{n}') for n in range(6)]
    restart_all(daemons)
    pairs = take_up_all(streams, daemons, TRY_COUNT)
    assert pairs == [('a', 'a')] * 6
