"""How state spreads in a fleet of hubs and leaves, without a network.

The pattern is hundreds of VMs of which each exchanges heartbeats with a few:
what one of them knows has to reach all others within a bound that does not
depend on their number.
"""

import pytest

from chestnutshunt import manual_clock
from chestnutshunt.store import stored_object
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.peers import heartbeat
from chestnutshunt_platform import main

DATACENTRES = ('m-a', 'm-b', 'm-c', 'e-a', 'e-b', 'e-c')
FLEET_COUNT = 165
HUB_COUNT = 12
STEP_S = 0.25


class Fleet:
    """Daemons that exchange their heartbeats in simulated time."""

    def __init__(self, count, clock=None):
        self.clock = clock or manual_clock.ManualClock()
        self.states = {}
        self.turns = {}
        self.down = set()
        for number in range(count):
            name = f'd{number:03d}'
            config = fleet_settings.FleetSettings(
                name=name,
                role='front',
                datacentre=DATACENTRES[number % len(DATACENTRES)],
                peer_address=f'{name}:1',
                processor_count=2 if number < 18 else 0.5,
            )
            self.states[name] = fleet_state.FleetState(
                config, main.STORE_SCHEMA, self.clock
            )
        objects = tuple(
            stored_object.StoredObject(
                fleet_state.DAEMON_KIND,
                name,
                1,
                state.topology.own.encode(),
            )
            for name, state in self.states.items()
        )
        for state in self.states.values():
            state.mirrors[fleet_state.DAEMON_KIND].apply_listing(
                1, objects, self.clock.monotonic()
            )
            state.plan_links()

    @property
    def hubs(self):
        return [x for x in self.states.values() if x.is_hub]

    @property
    def leaves(self):
        return [x for x in self.states.values() if not x.is_hub]

    def sync(self, caller, called):
        """Exchange one heartbeat as `FleetService` and its callers do."""
        now = self.clock.monotonic()
        if called.config.name in self.down:
            caller.topology.note_unreachable(called.config.name)
            return
        peer = caller.peers.get(called.config.name)
        sent = heartbeat.make_heartbeat(
            caller,
            peer is not None and peer.holder,
            now,
            peer is not None and not peer.hub,
        )
        self.pull(
            called, caller, heartbeat.apply_heartbeat(called, sent, now, now)
        )
        reply = heartbeat.make_heartbeat(
            called, sent.holder, for_leaf=sent.leaf
        )
        self.pull(
            caller, called, heartbeat.apply_heartbeat(caller, reply, now, now)
        )

    def pull(self, receiver, source, kinds):
        for kind in kinds:
            mirror = source.mirrors[kind]
            receiver.mirrors[kind].apply_listing(
                mirror.through,
                tuple(mirror.values()),
                mirror.confirmed_at,
                mirror.changed,
            )

    def step(self):
        """Let every daemon make the calls that are due in `STEP_S`."""
        self.clock.advance(STEP_S)
        for name, state in self.states.items():
            if name in self.down:
                continue
            current = state.plan_links()
            hubs = sorted(current.hubs)
            turn = self.turns[name] = self.turns.get(name, 0) + 1
            if turn % 2:
                continue
            if state.is_hub:
                called = [hub for hub in hubs if name < hub]
                called += current.unusable
            else:
                called = hubs[turn // 2 % len(hubs) :][:1] if hubs else []
            for other in called:
                self.sync(state, self.states[other])

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.step()


@pytest.fixture
def fleet():
    started = Fleet(FLEET_COUNT)
    started.run(2.0)
    return started


def test_hundreds_of_daemons_have_few_links(fleet):
    assert len(fleet.hubs) == HUB_COUNT
    assert all(len(x.topology.current.hubs) <= 3 for x in fleet.leaves)


def test_a_change_reaches_every_daemon_within_two_seconds(fleet):
    source = fleet.hubs[3]
    source.mirrors['config'].apply_listing(9, (), fleet.clock.monotonic())
    fleet.run(2.0)
    ages = [state.config_age_s() for state in fleet.states.values()]
    assert max(ages) <= 2.0


def test_every_daemon_knows_where_a_job_runs(fleet):
    leaf = fleet.leaves[7]
    leaf.running_job_ids = lambda: ['job-1']
    fleet.run(2.0)
    for state in fleet.states.values():
        if state is not leaf:
            runners = [x for x in state.live_peers() if 'job-1' in x.jobs]
            assert [x.name for x in runners] == [leaf.config.name]


def test_usage_of_every_leaf_reaches_the_holder_once(fleet):
    holder = fleet.hubs[0]
    holder.is_holder = lambda: True
    for state in fleet.states.values():
        state.counts.add('w', 12.0)
    fleet.run(2.5)
    assert holder.counts.fleet_totals(2) == {'w': FLEET_COUNT}


def test_loads_of_all_daemons_count_once(fleet):
    """A leaf reports to two hubs; only one of them may pass its load on."""
    for state in fleet.states.values():
        state.replicas.own_loads = lambda: {'t1': 1}
    fleet.run(2.0)
    for state in fleet.states.values():
        assert state.replicas.fleet_loads()['t1'] == FLEET_COUNT


def test_a_lost_hub_is_replaced_and_news_still_arrives(fleet):
    lost = fleet.hubs[2]
    fleet.down.add(lost.config.name)
    fleet.run(3.0)
    live = [x for x in fleet.states.values() if x is not lost]
    assert len([x for x in live if x.is_hub]) == HUB_COUNT
    fleet.hubs[0].mirrors['config'].apply_listing(
        9, (), fleet.clock.monotonic()
    )
    fleet.run(2.5)
    assert max(state.config_age_s() for state in live) <= 2.5
    fleet.down.clear()
    fleet.run(6.0)
    assert len(fleet.hubs) == HUB_COUNT


def test_the_holder_knows_which_leaves_are_live(fleet):
    """Registrations of live daemons must not be deleted as expired."""
    holder = fleet.hubs[0]
    holder.is_holder = lambda: True
    fleet.run(2.0)
    known = {peer.name for peer in holder.live_peers()}
    for _, leaves in holder.leaves_by_hub.values():
        known |= leaves
    assert known | {holder.config.name} == set(fleet.states)
