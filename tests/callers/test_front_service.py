"""What is logged of calls, and how errors become answers."""

import json
import logging

import pytest

from chestnutshunt import errors
from chestnutshunt.jobs import job_page
from chestnutshunt_daemon.callers import caller_request
from chestnutshunt_daemon.callers import front_service
from chestnutshunt_platform import caller_codec
from tests import fleet_parts


class Checks:
    def workspace(self, key):
        if key != 'good':
            raise errors.Unauthorized('The key is unknown.')
        return 'w'


class Jobs:
    def __init__(self):
        self.failure = None

    def read(self, job_id, workspace, after, wait_s):
        if self.failure is not None:
            raise self.failure
        return job_page.JobPage(4, after, ())


@pytest.fixture
def service():
    made = front_service.FrontService(
        fleet_parts.make_state(),
        caller_codec.CallerCodec(),
        Checks(),
        None,
        None,
        Jobs(),
        None,
    )
    made.asked = lambda key: caller_request.CallerRequest(
        'GET',
        '/v1/lots/j7?after=3',
        {'authorization': f'Bearer {key}'},
        b'',
        None,
        made.state.clock.monotonic(),
    )
    return made


def test_a_read_that_is_refused_is_logged_with_its_job(service, caplog):
    """Without an id of its own, such a call could not be traced."""
    service.jobs.failure = errors.NotReady('Away.', retry_after=0.3)
    with caplog.at_level(logging.INFO):
        answer = service.handle(service.asked('good'))
    assert answer.status == 503
    assert ('Retry-After', '0.3') in answer.headers
    assert json.loads(answer.body)['error'] == 'not_ready'
    line = next(x for x in caplog.records if x.msg == 'Answered')
    assert line.asked == {'job_id': 'j7', 'after': 3, 'wait_s': 0.0}


def test_a_read_that_is_served_is_counted_but_not_logged(service, caplog):
    with caplog.at_level(logging.INFO):
        answer = service.handle(service.asked('good'))
    assert json.loads(answer.body) == {
        'total': 4,
        'nextToken': 3,
        'results': [],
    }
    assert not caplog.records


def test_an_unknown_key_is_refused(service):
    assert service.handle(service.asked('bad')).status == 401


def test_a_fault_of_our_own_is_answered_and_logged(service, caplog):
    service.jobs.failure = RuntimeError('broken')
    answer = service.handle(service.asked('good'))
    assert answer.status == 500
    assert any(x.exc_info for x in caplog.records)
