"""What daemons believe when replies of the platform's store are malformed."""

import contextlib
import json

import attrs
import pytest

from chestnutshunt import errors
from chestnutshunt.store import memory_store
from chestnutshunt_daemon.peers import relayed_store
from chestnutshunt_daemon.targets import process_check
from chestnutshunt_platform import store_client
from tests import fake_target
from tests import fleet_parts
from tests.peers import test_relayed_store
from tests import response_heads
from tests.targets import test_process_check

parts = test_relayed_store.parts

STORED = {
    'metadata': {'name': 't1', 'revision': 7},
    'spec': {'service': 's', 'address': '127.0.0.1:1', 'state': 'ready'},
}
each_group = pytest.mark.parametrize('group', response_heads.GROUPS)


@contextlib.contextmanager
def store_that_sends(lines):
    """Yield a client of a store that sends one reply to all calls."""
    step = response_heads.respond(lines, json.dumps(STORED).encode())
    fake = fake_target.FakeTarget('store', step)
    with contextlib.closing(fake):
        yield store_client.StoreClient(fake.address, 2.0)


def test_a_well_formed_reply_counts():
    with store_that_sends(response_heads.BASE) as store:
        assert store.get('servers', 't1').unwrap().version == 7


# Guards against LOST: streams were not taken up at a process that still ran.
@each_group
def test_the_known_process_of_a_target_counts(group):
    known = attrs.evolve(test_process_check.KNOWN, started_ms=2000)
    state = fleet_parts.make_state()
    fleet_parts.register(state, known)
    wrong = []
    for name, lines in response_heads.GROUPS[group].items():
        with store_that_sends(lines) as store:
            check = process_check.ProcessCheck(state, store)
            if not check.is_current(known):
                wrong.append(name)
    assert not wrong


@each_group
def test_a_peer_relays_no_malformed_reply(parts, group):
    state, _ = parts
    direct = memory_store.MemoryStore()
    direct.down = True
    wrong = []
    for name, lines in response_heads.GROUPS[group].items():
        with store_that_sends(lines) as shared:
            peer = test_relayed_store.Peer(shared)
            store = relayed_store.RelayedStore(state, direct, peer)
            read = store.get('servers', 't1')
            written = store.put('k', 'a', {}, 0)
        if read.value_or(None) or not isinstance(
            written.failure(), errors.PlatformUncertain
        ):
            wrong.append(name)
    assert not wrong
