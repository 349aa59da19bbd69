"""Changes that peers announce, and from which peer a daemon gets them."""

import threading

import grpc
import pytest

from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object
from chestnutshunt_daemon.peers import fleet_mesh
from chestnutshunt_daemon.peers import fleet_service
from tests import fleet_parts
from tests.jobs import test_job_runner

# As many as a heartbeat a period makes within the time below.
ANNOUNCEMENT_COUNT = 10
KIND = 'config'


class TooLate(grpc.RpcError):
    def code(self):
        return grpc.StatusCode.DEADLINE_EXCEEDED


class SlowStub:
    def Pull(self, request, timeout):
        threading.Event().wait(timeout)
        raise TooLate


class Clients:
    """Peers by address; all but one reply too late."""

    def __init__(self, sound):
        self.service = fleet_service.FleetService(
            sound, None, None, None, None
        )

    def stub(self, address):
        return self if address == 'sound' else SlowStub()

    def Pull(self, request, timeout):
        return self.service.Pull(request, None)


def write(state, revision):
    stored = stored_object.StoredObject(KIND, 'other', revision, {})
    state.mirrors[KIND].apply_listing(
        revision, (stored,), state.clock.monotonic()
    )


# Guards against CONFIG: changes reached a daemon seconds late, since it waited
# for each announcement of a peer that did not reply.
@pytest.mark.parametrize('slow_count', [1, 2])
def test_change_does_not_wait_for_slow_peers(slow_count):
    state, sound = fleet_parts.make_state(), fleet_parts.make_state()
    write(state, 5)
    write(sound, 5)
    write(sound, 9)
    mesh = fleet_mesh.FleetMesh(state, None, Clients(sound))
    mirror = state.mirrors[KIND]
    arrived = threading.Event()
    mirror.listeners.append(arrived.set)
    count = getattr(fleet_mesh, 'PULL_THREAD_COUNT', 1)
    threads = [
        threading.Thread(target=mesh.run_pulls, daemon=True)
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    for number in range(ANNOUNCEMENT_COUNT):
        mirror.apply_digest(
            kind_mirror.KindDigest(9, 9, 0.0), state.clock.monotonic()
        )
        state.pull_from(f'slow-{number % slow_count}', [KIND])
    state.pull_from('sound', [KIND])
    assert arrived.wait(state.config.config_s)
    state.stopped.set()
    for thread in threads:
        thread.join(test_job_runner.TIMEOUT_S)
    assert mirror.through == 9


def test_kind_that_another_peer_has_brought_is_not_pulled():
    state, sound = fleet_parts.make_state(), fleet_parts.make_state()
    write(state, 5)
    mesh = fleet_mesh.FleetMesh(state, None, Clients(sound))
    mirror = state.mirrors[KIND]
    mirror.apply_digest(
        kind_mirror.KindDigest(9, 9, 0.0), state.clock.monotonic()
    )
    write(state, 9)
    started_at = state.clock.monotonic()
    mesh.pull('slow-0', {KIND})
    assert state.clock.monotonic() - started_at < 0.5
