"""Requests that are open, or come late, when a daemon is shut down."""

import contextlib
import http.client
import itertools
import json
import math
import random
import threading
import time

import pytest

from chestnutshunt.deployment import deployment
from chestnutshunt.deployment import destination
from chestnutshunt.deployment import route
from chestnutshunt.deployment import route_kind
from chestnutshunt import errors
from chestnutshunt.jobs import job_page
from chestnutshunt_daemon.callers import admission
from chestnutshunt_daemon.callers import caller_request
from chestnutshunt_daemon.callers import caller_server
from chestnutshunt_daemon.callers import front_service
from chestnutshunt_daemon.fleet import fleet_daemon
from chestnutshunt_daemon.targets import stream_forwarder
from chestnutshunt_platform import caller_codec
from tests import fake_target
from tests import fleet_parts
from tests.jobs import test_job_runner

KINDS = route_kind.RouteKind
FORWARDED = [KINDS.IDEMPOTENT, KINDS.ONCE, KINDS.STREAM]
TIMEOUT_S = 20.0


class StillWatch:
    """Callers that do not disconnect."""

    def on_disconnect(self, connection, callback):
        return contextlib.nullcontext()


class JobCalls:
    """Records for how long reads wait."""

    def __init__(self):
        self.waits_s = []

    def read(self, job_id, workspace, after, wait_s):
        self.waits_s.append(wait_s)
        return job_page.JobPage(4, after, ())

    def item_body(self, job_id, workspace, item_id):
        return b'body'

    def end(self, job_id, workspace):
        pass


class Harness:
    def __init__(self, stack, *script, stop_s=8.0):
        self.state = fleet_parts.make_state(stop_s=stop_s)
        self.state.deployment = deployment.Deployment(
            1,
            tuple(
                route.Route(
                    kind.name,
                    'h',
                    f'/{kind.name}/',
                    kind,
                    timeout_s=3.0,
                    goal_s=5.0,
                    open=True,
                    max_attempts=2,
                    destinations=(destination.Destination('s'),),
                )
                for kind in FORWARDED
            ),
            {},
        )
        self.target = fake_target.FakeTarget('t1', *script)
        stack.callback(self.target.close)
        fleet_parts.register(self.state, self.target.replica())
        forwards = fleet_parts.make_forwarder(self.state)
        self.jobs = JobCalls()
        self.front = front_service.FrontService(
            self.state,
            caller_codec.PlatformCallerCodec(),
            admission.Admission(self.state, 5.0),
            forwards,
            stream_forwarder.StreamForwarder(
                self.state, forwards.exchanger, random.Random(1)
            ),
            self.jobs,
            StillWatch(),
        )

    def stop_in(self, seconds):
        self.state.stop_at = self.state.clock.monotonic() + seconds
        self.state.leaving.set()

    def send(self, target, method='POST'):
        request = caller_request.CallerRequest(
            method,
            target,
            {'host': 'h', 'x-request-id': 'q1'},
            b'',
            None,
            self.state.clock.monotonic(),
        )
        return self.front.handle(request)


@pytest.fixture
def stack():
    with contextlib.ExitStack() as exit_stack:
        yield exit_stack


# Guards against LOST: a request that came late in a shutdown was passed on and
# cut at its end, also if it could not be repeated.
@pytest.mark.parametrize(
    ('kind', 'left_s'),
    [
        *itertools.product(FORWARDED, [-0.5, 0.0, 1.0, 2.9]),
        (KINDS.STREAM, 7.0),
    ],
)
def test_a_request_that_may_outlast_the_daemon_is_refused(stack, kind, left_s):
    harness = Harness(stack, fake_target.respond())
    harness.stop_in(left_s)
    response = harness.send(f'/{kind.name}/x')
    assert response.status == 503
    assert json.loads(response.body)['error'] == 'draining'
    assert float(dict(response.headers)['Retry-After']) < 0.1
    assert not harness.target.heads


@pytest.mark.parametrize(
    ('kind', 'left_s'),
    [
        (KINDS.IDEMPOTENT, 3.5),
        (KINDS.ONCE, 3.5),
        *itertools.product(FORWARDED, [math.inf]),
    ],
)
def test_a_request_that_fits_is_served(stack, kind, left_s):
    harness = Harness(stack, fake_target.respond())
    harness.stop_in(left_s)
    response = harness.send(f'/{kind.name}/x')
    assert response.status == 200


# Guards against LOST: what was open at the end of a shutdown ended without an
# answer.
@pytest.mark.parametrize('kind', FORWARDED)
def test_an_open_request_is_answered_at_the_end(stack, kind):
    harness = Harness(stack, fake_target.wait_for_disconnect)
    responses = []
    thread = threading.Thread(
        target=lambda: responses.append(harness.send(f'/{kind.name}/x'))
    )
    thread.start()
    test_job_runner.wait_until(lambda: harness.target.heads)
    harness.stop_in(0.0)
    harness.front.stop_requests()
    thread.join(1.0)
    (response,) = responses
    assert response.status == 504
    assert json.loads(response.body)['error'] == 'outcome_unknown'
    assert not harness.front.open_tokens


def test_an_open_stream_breaks_off_visibly(stack):
    harness = Harness(stack, fake_target.events(1, complete=None))
    response = harness.send('/STREAM/x')
    assert next(response.stream) == b'id: 1\ndata: d1\n\n'
    harness.stop_in(0.0)
    harness.front.stop_requests()
    with pytest.raises(errors.ChestnutshuntError):
        next(response.stream)
    assert not harness.front.open_tokens


@pytest.mark.parametrize(('left_s', 'waits_s'), [(9.0, 1.0), (2.5, 0.5)])
def test_a_read_waits_no_longer_than_the_daemon_lasts(stack, left_s, waits_s):
    harness = Harness(stack)
    harness.stop_in(left_s)
    request = caller_request.CallerRequest(
        'GET',
        '/v1/lots/j7?after=3',
        {'x-wait-ms': '1000'},
        b'',
        None,
        harness.state.clock.monotonic(),
    )
    assert harness.front.handle(request).status == 200
    (waited_s,) = harness.jobs.waits_s
    assert waited_s == pytest.approx(waits_s, abs=0.2)


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/v1/lots/j7?after=3'),
        ('GET', '/v1/items/j7?id=i1'),
        ('DELETE', '/v1/lots/j7'),
    ],
)
def test_a_late_call_about_a_job_is_refused(stack, method, path):
    harness = Harness(stack)
    harness.stop_in(1.0)
    response = harness.send(path, method)
    assert response.status == 503
    assert json.loads(response.body)['error'] == 'draining'


class IdleRunner:
    runs = {}


def test_draining_answers_all_that_is_open(stack):
    """Requests longer than the shutdown, on connections of callers."""
    harness = Harness(stack, fake_target.wait_for_disconnect, stop_s=1.5)
    server = stack.enter_context(
        caller_server.caller_server(
            '127.0.0.1:0', harness.front.handle, 8, harness.state.clock
        )
    )
    responses = []
    threads = [
        threading.Thread(
            target=lambda: responses.append(post(server.bind_addr, 'ONCE'))
        )
        for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    test_job_runner.wait_until(lambda: len(harness.target.heads) == 4)
    daemon = fleet_daemon.FleetDaemon(
        harness.state, server, IdleRunner(), harness.front
    )
    started_at = time.monotonic()
    fleet_daemon.drain(daemon)
    assert time.monotonic() - started_at < 1.5
    for thread in threads:
        thread.join(TIMEOUT_S)
    assert responses == [504] * 4


def post(address, kind):
    """Return the status of the response to a request."""
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    headers = {'Host': 'h', 'X-Request-Id': 'q1'}
    with contextlib.closing(connection):
        connection.request('POST', f'/{kind}/x', b'', headers)
        return connection.getresponse().status
