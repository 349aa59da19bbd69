"""Which daemons read the store, and when, in a fleet of hundreds of VMs."""

import pytest

from chestnutshunt import manual_clock
from chestnutshunt.membership import topology
from chestnutshunt.store import kind_mirror
from chestnutshunt.store import memory_store
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.fleet import mirror_reader
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_platform import main

PERIOD_S = 0.6


class Harness:
    def __init__(self, **settings):
        self.clock = manual_clock.ManualClock()
        config = fleet_settings.FleetSettings(
            name='d',
            role='front',
            datacentre='a',
            peer_address='10.0.0.9:1',
            **settings,
        )
        self.state = fleet_state.FleetState(
            config, main.STORE_SCHEMA, self.clock
        )
        self.readers = {
            kind: mirror_reader.MirrorReader(
                self.state, memory_store.MemoryStore(), kind, PERIOD_S
            )
            for kind in self.state.mirrors
        }

    def be_leaf(self):
        self.state.topology.current = topology.Topology(False, {}, {})

    def confirm(self):
        for mirror in self.state.mirrors.values():
            mirror.apply_listing(
                mirror.through + 1, (), self.clock.monotonic()
            )

    def due_kinds(self):
        return {k for k, r in self.readers.items() if r.is_due()}


def hear(state, name):
    state.peers[name] = peer_info.PeerInfo(
        name,
        'i',
        'a',
        'x:1',
        False,
        False,
        frozenset(),
        0.004,
        state.clock.monotonic(),
    )


def test_a_hub_reads_when_its_period_has_passed():
    harness = Harness()
    harness.state.note_store_read(0.004)
    harness.confirm()
    assert not harness.due_kinds()
    harness.clock.advance(PERIOD_S)
    assert harness.due_kinds() == set(harness.state.mirrors)


def test_a_leaf_leaves_reading_to_the_hubs():
    harness = Harness()
    harness.state.note_store_read(0.004)
    harness.confirm()
    harness.be_leaf()
    harness.clock.advance(PERIOD_S + 2 * mirror_reader.STANDBY_S)
    hear(harness.state, 'h1')
    assert not harness.due_kinds()


def test_leaves_do_not_all_call_a_store_that_is_down():
    """All daemons called it several times a second for each kind."""
    harness = Harness()
    harness.confirm()
    harness.be_leaf()
    harness.state.note_store_read(-1.0)
    harness.clock.advance(30)
    assert harness.due_kinds() == {'config'}
    harness.readers['config'].read()
    harness.state.note_store_read(-1.0)
    harness.clock.advance(1.0)
    assert not harness.due_kinds()


@pytest.mark.parametrize('replied', [False, True])
def test_a_daemon_that_starts_waits_for_a_seed(replied):
    """Hundreds that start at once read everything from the store."""
    harness = Harness(seed_addresses=['10.0.0.1:7'])
    assert harness.state.config.seeds == ['10.0.0.1:1']
    if replied:
        hear(harness.state, 'seed')
    harness.clock.advance(mirror_reader.SEED_WAIT_S - 0.1)
    assert not harness.due_kinds()
    harness.clock.advance(0.2)
    assert bool(harness.due_kinds()) is not replied
    harness.clock.advance(mirror_reader.REPLIED_SEED_WAIT_S)
    assert harness.due_kinds()


def test_a_seed_reads_at_once():
    harness = Harness(seed_addresses=['10.0.0.9:7'])
    assert harness.due_kinds()


# Guards against CONFIG: a daemon kept asking peers that did not reply.
@pytest.mark.parametrize('is_leaf', [False, True])
def test_announced_configuration_that_does_not_come_is_read(is_leaf):
    harness = Harness()
    for name in ('a', 'b', 'c', 'e'):
        hear(harness.state, name)
    if is_leaf:
        harness.be_leaf()
    harness.state.store_read_s = 0.004
    harness.state.reader_rank = lambda kind: 1
    harness.confirm()
    harness.clock.advance(0.1)
    kind = harness.state.schema.config_kind
    mirror = harness.state.mirrors[kind]
    mirror.apply_digest(
        kind_mirror.KindDigest(9, 9, 0.0), harness.clock.monotonic()
    )
    assert kind not in harness.due_kinds()
    harness.clock.advance(0.6 * harness.state.config.config_s)
    for name in ('a', 'b', 'c', 'e'):
        hear(harness.state, name)
    reader = harness.readers[kind]
    assert mirror.age_s < reader.due_age_s()
    assert kind in harness.due_kinds()
    mirror.apply_listing(9, (), harness.clock.monotonic())
    assert not mirror.behind_s
