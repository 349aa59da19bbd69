"""Calls about jobs that run at another daemon."""

import grpc
import pytest

from chestnutshunt.jobs import acceptance
from chestnutshunt.jobs import result
from chestnutshunt.jobs import result_log
from chestnutshunt.store import memory_store
from chestnutshunt_daemon.jobs import job_api
from chestnutshunt_daemon.jobs import job_runner
from chestnutshunt_daemon.peers import peer_info
from tests import fleet_parts
from tests.jobs import test_job_runner


class Unavailable(grpc.RpcError):
    def code(self):
        return grpc.StatusCode.UNAVAILABLE


class StoppingPeer:
    """Breaks off all calls, as a daemon does that ends meanwhile."""

    def __init__(self):
        self.calls = []

    def stub(self, address):
        return self

    def __getattr__(self, name):
        def call(request, timeout):
            self.calls.append(name)
            raise Unavailable

        return call


@pytest.fixture
def relayed():
    state = fleet_parts.make_state()
    store = memory_store.MemoryStore()
    new_job = test_job_runner.make_job()
    acceptance.accept(store, new_job).unwrap()
    log = result_log.ResultLog(store, new_job.id, 'x', state.clock)
    log.append([result.Result('i0', True, 'text')]).unwrap()
    state.peers['p1'] = peer_info.PeerInfo(
        'p1',
        'i',
        'a',
        'p1:1',
        False,
        False,
        frozenset([new_job.id]),
        0.004,
        state.clock.monotonic(),
    )
    peer = StoppingPeer()
    runner = job_runner.JobRunner(state, store, None)
    return job_api.JobApi(state, store, runner, peer), peer


# Guards against LOST: the daemon that runs a job ends while another one reads
# results from it for a caller.
def test_a_relayed_read_is_answered_from_the_store(relayed):
    api, peer = relayed
    page = api.read('j', '', 0, 1.0)
    assert [x.id for x in page.results] == ['i0']
    assert peer.calls == ['ReadResults']


def test_a_relayed_item_is_answered_from_the_store(relayed):
    api, peer = relayed
    assert api.item_body('j', '', 'i0') == b'x'
    assert peer.calls == ['ReadItem']


def test_an_end_is_in_force_without_the_peer(relayed):
    api, peer = relayed
    api.end('j', '')
    assert api.store.get('job', 'j').unwrap().value['ended']
    assert peer.calls == ['EndJob']
