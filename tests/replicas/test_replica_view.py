"""Slow and lapsed targets; prompt locality."""

import random

from chestnutshunt import manual_clock
from chestnutshunt.replicas import place
from chestnutshunt.replicas import replica
from chestnutshunt.replicas import replica_view
from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object


def decode(held):
    return replica.Replica(
        id=held.name,
        service='s',
        address='127.0.0.1:1',
        **{'slots': 2, **held.value},
    )


class View:
    def __init__(self, **targets):
        self.clock = manual_clock.ManualClock()
        self.mirror = kind_mirror.KindMirror('k', self.clock)
        self.view = replica_view.ReplicaView(
            self.mirror,
            decode,
            place.Place('a', {'a': 'r', 'b': 'r', 'c': 'q'}),
            self.clock,
            random.Random(1),
        )
        self.revision = 0
        self.register(**targets)

    def register(self, **targets):
        self.revision += 1
        objects = tuple(
            stored_object.StoredObject('k', name, self.revision, value)
            for name, value in targets.items()
        )
        self.mirror.apply_listing(
            self.revision, objects, self.clock.monotonic()
        )


A = {'datacentre': 'a'}
B = {'datacentre': 'b'}
C = {'datacentre': 'c'}


def test_the_own_data_centre_goes_first_until_it_is_loaded():
    held = View(x=A, y=B, z=C)
    first = held.view.choose('s')
    assert first.id == 'x'
    held.view.begin(first)
    held.view.begin(first)
    assert held.view.choose('s').id == 'y'


def test_a_leaving_target_gets_nothing_new():
    held = View(x={**A, 'leaving': True}, y=C)
    assert held.view.choose('s').id == 'y'


def test_a_failing_target_is_used_only_without_another():
    held = View(x=A, y=C)
    for _ in range(3):
        held.view.state(held.view.replicas['x']).breaker.failed()
    assert held.view.choose('s').id == 'y'
    assert held.view.choose('s', {'y'}).id == 'x'


def test_a_removed_target_is_gone_at_once():
    held = View(x=A, y=A)
    held.clock.advance(0.6)
    held.register(y=A)
    assert [item.id for item in held.view.serving('s')] == ['y']


def test_a_target_that_lapsed_in_an_outage_is_kept_for_a_while():
    held = View(x=A, y=A)
    held.clock.advance(5.0)
    held.register(y=A)
    assert {item.id for item in held.view.serving('s')} == {'x', 'y'}
    held.clock.advance(replica_view.LAPSE_GRACE_S + 0.1)
    assert [item.id for item in held.view.serving('s')] == ['y']


def test_a_target_that_registers_again_after_an_outage_stays():
    held = View(x=A, y=A)
    held.clock.advance(5.0)
    held.register(y=A)
    held.clock.advance(1.0)
    held.register(x=A, y=A)
    held.clock.advance(5.0)
    assert {item.id for item in held.view.serving('s')} == {'x', 'y'}


def test_engines_are_chosen_by_version_and_free_slots():
    held = View(x={**A, 'versions': {'m': 1}}, y={**A, 'versions': {'m': 2}})
    chosen = held.view.choose_engine('s', 'm', 2)
    assert chosen.id == 'y'
    held.view.begin(chosen)
    held.view.begin(chosen)
    assert held.view.choose_engine('s', 'm', 2) is None


def test_items_of_a_group_go_where_their_prompt_was_read():
    held = View(x={**A, 'versions': {'m': 1}}, y={**C, 'versions': {'m': 1}})
    assert held.view.choose_engine('s', 'm', 1, {'y'}).id == 'y'


def test_a_slow_target_is_chosen_last():
    held = View(x={**A, 'versions': {'m': 1}}, y={**A, 'versions': {'m': 1}})
    for _ in range(20):
        held.view.note_event(held.view.replicas['x'], 0.4)
    assert held.view.choose_engine('s', 'm', 1).id == 'y'


def test_a_registration_that_lags_does_not_hide_a_newer_version():
    held = View(x={**A, 'versions': {'m': 1}})
    target = held.view.all()[0]
    held.view.note_version(target, 'm', 2)
    held.register(x={**A, 'versions': {'m': 1}, 'slots': 2})
    assert held.view.has_version(target, 'm', 2)


def test_a_target_that_registers_an_older_version_than_before_has_it():
    """An order from before its restart took it back; nobody saw that."""
    held = View(x={**A, 'versions': {'m': 3}})
    held.register(x={**A, 'versions': {'m': 2}})
    target = held.view.all()[0]
    assert not held.view.has_version(target, 'm', 3)
    assert held.view.with_versions(target).versions == {'m': 2}
