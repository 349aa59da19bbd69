"""Logging of calls, and the responses to errors."""

import json
import logging

import pytest

from chestnutshunt import errors
from chestnutshunt.jobs import job_page
from chestnutshunt_daemon.callers import caller_request
from chestnutshunt_daemon.callers import front_service
from chestnutshunt_platform import caller_codec
from tests import fleet_parts


class FakeAdmission:
    def workspace(self, key):
        if key != 'good':
            raise errors.Unauthorized('The key is unknown.')
        return 'w'


class FakeJobs:
    def __init__(self):
        self.failure = None

    def read(self, job_id, workspace, after, wait_s):
        if self.failure is not None:
            raise self.failure
        return job_page.JobPage(4, after, ())


@pytest.fixture
def service():
    front = front_service.FrontService(
        fleet_parts.make_state(),
        caller_codec.PlatformCallerCodec(),
        FakeAdmission(),
        None,
        None,
        FakeJobs(),
        None,
    )
    front.read_request = lambda key: caller_request.CallerRequest(
        'GET',
        '/v1/lots/j7?after=3',
        {'authorization': f'Bearer {key}'},
        b'',
        None,
        front.state.clock.monotonic(),
    )
    return front


def test_failed_read_is_logged_with_its_job(service, caplog):
    """Reads carry no request id, so only the job id identifies the call."""
    service.jobs.failure = errors.NotReady('Unavailable.', retry_after_s=0.3)
    with caplog.at_level(logging.INFO):
        response = service.handle(service.read_request('good'))
    assert response.status == 503
    assert ('Retry-After', '0.3') in response.headers
    assert json.loads(response.body)['error'] == 'not_ready'
    record = next(x for x in caplog.records if x.msg == 'Answered')
    assert record.asked == {'job_id': 'j7', 'after': 3, 'wait_s': 0.0}


def test_successful_read_is_not_logged(service, caplog):
    with caplog.at_level(logging.INFO):
        response = service.handle(service.read_request('good'))
    assert json.loads(response.body) == {
        'total': 4,
        'nextToken': 3,
        'results': [],
    }
    assert not caplog.records


def test_unknown_key_is_unauthorized(service):
    assert service.handle(service.read_request('bad')).status == 401


def test_unexpected_error_is_answered_and_logged(service, caplog):
    service.jobs.failure = RuntimeError('broken')
    response = service.handle(service.read_request('good'))
    assert response.status == 500
    assert any(x.exc_info for x in caplog.records)
