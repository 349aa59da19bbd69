"""Daemons that take the duties from each other."""

import pytest

from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_platform import main

LEASE_S = 3.0
STEP_S = 0.05


class Holders:
    """Daemons that share a store and a clock, and what they do in turn."""

    def __init__(self, *names):
        self.clock = manual_clock.ManualClock()
        self.store = memory_store.MemoryStore()
        self.holders = {}
        self.acts = []
        for name in names:
            self.start(name)

    def start(self, name):
        config = fleet_settings.FleetSettings(
            name=name, role='front', datacentre='a', lease_s=LEASE_S
        )
        state = fleet_state.FleetState(config, main.STORE_SCHEMA, self.clock)
        self.holders[name] = duty_holder.DutyHolder(state, self.store)

    def act_until(self, name, condition):
        """Let a daemon take the duties and act whenever it may."""
        holder = self.holders[name]
        for _ in range(400):
            holder.lease.renew_or_acquire()
            holder.note_change()
            if holder.fence():
                self.acts.append((name, self.clock.monotonic()))
            if condition():
                return
            self.clock.advance(STEP_S)
        pytest.fail(f'{name} never acted: {self.acts}')

    def act_once(self, name):
        count = len(self.acts)
        self.act_until(name, lambda: len(self.acts) > count)

    def announce(self, holder, other):
        version = self.holders[holder].lease.version
        self.holders[other].lease.observe_version(version)

    def release(self, name):
        self.holders[name].lease.release()
        self.holders[name].note_change()


def shortest_return(acts):
    """Return the least time in which the duties went away and came back."""
    spans = [
        last_at - first_at
        for number, (first, first_at) in enumerate(acts)
        for last, last_at in acts[number + 1 :]
        if first == last
        and any(name != first and first_at < at < last_at for name, at in acts)
    ]
    return min(spans, default=LEASE_S)


# Guards against ONE: a successor that stops releases the lease, and the former
# holder took it again before the time between two turns was over.
@pytest.mark.parametrize('restarts', [False, True])
def test_duties_do_not_come_back_within_the_lease_time(restarts):
    fleet = Holders('a', 'b')
    fleet.act_once('a')
    # Its heartbeat announces the lease that it has renewed.
    fleet.announce('a', 'b')
    # The first daemon stands still, or is killed and back soon after.
    fleet.clock.advance(1.0)
    if restarts:
        fleet.start('a')
    fleet.act_once('b')
    fleet.release('b')
    fleet.act_once('a')
    assert shortest_return(fleet.acts) >= LEASE_S


# Guards against ONE: a daemon whose lease went away and came back between two
# looks at it did not notice, and acted at once.
def test_tenure_that_passes_unnoticed():
    fleet = Holders('a', 'b')
    fleet.act_once('a')
    fleet.clock.advance(1.0)
    fleet.act_once('b')
    fleet.release('b')
    holder = fleet.holders['a']
    holder.lease.renew_or_acquire()
    assert holder.lease.is_held
    assert not holder.fence()


def test_duties_pass_on_at_once_after_a_release():
    fleet = Holders('a', 'b')
    fleet.clock.advance(2 * LEASE_S)
    fleet.act_once('a')
    fleet.release('a')
    released_at = fleet.clock.monotonic()
    fleet.act_once('b')
    assert fleet.clock.monotonic() - released_at < 0.5


def test_first_holder_acts_at_once():
    fleet = Holders('a')
    fleet.act_once('a')
    assert fleet.clock.monotonic() - fleet.acts[0][1] < 0.5
    ((_, acted_at),) = fleet.acts
    started_at = fleet.holders['a'].state.started_at
    assert acted_at - started_at < 0.5
