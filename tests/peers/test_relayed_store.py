"""Store calls are relayed through a peer if the store cannot be reached."""

import grpc
import pytest
from returns import result

from chestnutshunt import errors
from chestnutshunt.store import memory_store
from chestnutshunt_daemon.fleet import mirror_reader
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_daemon.peers import relayed_store
from chestnutshunt_daemon.peers import store_codec
from tests import fleet_parts


class DeadlineExceeded(grpc.RpcError):
    def code(self):
        return grpc.StatusCode.DEADLINE_EXCEEDED


class Peer:
    """Peer in this process that executes relayed store calls."""

    def __init__(self, store):
        self.store = store
        self.calls = []
        self.silent = False

    def stub(self, address):
        return self

    def CallStore(self, message, timeout):
        self.calls.append(message.operation)
        if self.silent:
            raise DeadlineExceeded()
        return store_codec.execute_call(self.store, message)


class UnresponsiveStore(memory_store.MemoryStore):
    """Store that never responds, so writes may have been made."""

    def put(self, *arguments):
        return result.Failure(errors.PlatformUncertain('No answer.'))


@pytest.fixture
def parts():
    state = fleet_parts.make_state()
    state.store_read_s = 0.004
    state.peers['p'] = peer_info.PeerInfo(
        'p', 'x', 'a', 'p:1', False, False, frozenset(), 0.004, 0.0
    )
    state.live_peers = lambda: list(state.peers.values())
    return state, memory_store.MemoryStore()


def test_a_refused_call_goes_through_a_peer(parts):
    state, shared = parts
    direct = memory_store.MemoryStore()
    direct.down = True
    peer = Peer(shared)
    store = relayed_store.RelayedStore(state, direct, peer)
    stored = store.put('k', 'a', {'x': 1}, 0).unwrap()
    assert store.get('k', 'a').unwrap() == stored
    assert store.list_kind('k').unwrap().objects == (stored,)
    conflict = store.put('k', 'a', {}, 0)
    assert isinstance(conflict.failure(), errors.Conflict)
    store.delete('k', 'a', stored.version).unwrap()
    assert store.get('k', 'a').unwrap() is None


def test_unanswered_write_is_not_retried_but_the_next_is_relayed(parts):
    """Without this the holder of the duties waited 1.5 s for every call.

    Each call tried the unresponsive store first, although an earlier one had
    already failed.
    """
    state, shared = parts
    peer = Peer(shared)
    store = relayed_store.RelayedStore(state, UnresponsiveStore(), peer)
    first = store.put('k', 'a', {}, 0)
    assert isinstance(first.failure(), errors.PlatformUncertain)
    assert peer.calls == []
    store.put('k', 'a', {}, 0).unwrap()
    assert peer.calls == ['put']


def test_write_through_an_unresponsive_peer_is_uncertain(parts):
    state, shared = parts
    direct = memory_store.MemoryStore()
    direct.down = True
    peer = Peer(shared)
    peer.silent = True
    store = relayed_store.RelayedStore(state, direct, peer)
    written = store.put('k', 'a', {}, 0)
    assert isinstance(written.failure(), errors.PlatformUncertain)
    read = store.get('k', 'a')
    assert isinstance(read.failure(), errors.PlatformUnavailable)


def test_a_store_that_failed_is_probed_until_it_answers(parts):
    state, shared = parts
    reader = mirror_reader.MirrorReader(state, shared, 'config', 0.6)
    state.mirrors['config'].apply_listing(1, (), state.clock.monotonic())
    assert not reader.is_due()
    state.store_read_s = -1.0
    assert reader.is_due()
    assert reader.read()
    assert state.store_read_s >= 0
    assert not reader.is_due()
