"""Choice of targets by load, health, locality and weight version."""

import random

from chestnutshunt import manual_clock
from chestnutshunt.replicas import place
from chestnutshunt.replicas import replica
from chestnutshunt.replicas import replica_view
from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object


def decode(stored):
    return replica.Replica(
        id=stored.name,
        service='s',
        **{'slots': 2, 'address': '127.0.0.1:1', **stored.value},
    )


class ViewHarness:
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


def test_the_own_data_centre_is_preferred_until_it_is_loaded():
    harness = ViewHarness(x=A, y=B, z=C)
    first = harness.view.choose('s')
    assert first.id == 'x'
    harness.view.begin_request(first)
    harness.view.begin_request(first)
    assert harness.view.choose('s').id == 'y'


def test_a_leaving_target_gets_nothing_new():
    harness = ViewHarness(x={**A, 'leaving': True}, y=C)
    assert harness.view.choose('s').id == 'y'


def test_a_failing_target_is_used_only_without_another():
    harness = ViewHarness(x=A, y=C)
    for _ in range(3):
        harness.view.state(harness.view.replicas['x']).breaker.record_failure()
    assert harness.view.choose('s').id == 'y'
    assert harness.view.choose('s', {'y'}).id == 'x'


def test_a_removed_target_is_gone_at_once():
    harness = ViewHarness(x=A, y=A)
    harness.clock.advance(0.6)
    harness.register(y=A)
    assert [item.id for item in harness.view.serving('s')] == ['y']


def test_a_target_that_lapsed_in_an_outage_is_kept_for_a_while():
    harness = ViewHarness(x=A, y=A)
    harness.clock.advance(5.0)
    harness.register(y=A)
    assert {item.id for item in harness.view.serving('s')} == {'x', 'y'}
    harness.clock.advance(replica_view.LAPSE_GRACE_S + 0.1)
    assert [item.id for item in harness.view.serving('s')] == ['y']


def test_a_target_that_registers_again_after_an_outage_stays():
    harness = ViewHarness(x=A, y=A)
    harness.clock.advance(5.0)
    harness.register(y=A)
    harness.clock.advance(1.0)
    harness.register(x=A, y=A)
    harness.clock.advance(5.0)
    assert {item.id for item in harness.view.serving('s')} == {'x', 'y'}


def test_engines_are_chosen_by_version_and_free_slots():
    harness = ViewHarness(
        x={**A, 'versions': {'m': 1}}, y={**A, 'versions': {'m': 2}}
    )
    target = harness.view.choose_engine('s', 'm', 2)
    assert target.id == 'y'
    harness.view.begin_request(target)
    harness.view.begin_request(target)
    assert harness.view.choose_engine('s', 'm', 2) is None


def test_items_of_a_group_go_where_their_prompt_was_read():
    harness = ViewHarness(
        x={**A, 'versions': {'m': 1}}, y={**C, 'versions': {'m': 1}}
    )
    assert harness.view.choose_engine('s', 'm', 1, {'y'}).id == 'y'


def test_a_slow_target_is_chosen_last():
    harness = ViewHarness(
        x={**A, 'versions': {'m': 1}}, y={**A, 'versions': {'m': 1}}
    )
    for _ in range(20):
        harness.view.record_event_interval(harness.view.replicas['x'], 0.4)
    assert harness.view.choose_engine('s', 'm', 1).id == 'y'


def test_a_registration_that_lags_does_not_hide_a_newer_version():
    harness = ViewHarness(x={**A, 'versions': {'m': 1}})
    target = harness.view.list_all()[0]
    harness.view.record_version(target, 'm', 2)
    harness.register(x={**A, 'versions': {'m': 1}, 'slots': 2})
    assert harness.view.has_version(target, 'm', 2)


def test_a_target_that_registers_an_older_version_than_before_has_it():
    """An order from before its restart made it load older weights unseen."""
    harness = ViewHarness(x={**A, 'versions': {'m': 3}})
    harness.register(x={**A, 'versions': {'m': 2}})
    target = harness.view.list_all()[0]
    assert not harness.view.has_version(target, 'm', 3)
    assert harness.view.with_versions(target).versions == {'m': 2}


M3 = {**A, 'versions': {'m': 3}}
M2 = {**A, 'versions': {'m': 2}}


# Guards against items going again and again to a target that has loaded older
# weights: each change of another registration made it count as newer.
def test_a_registration_that_has_not_changed_does_not_hide_an_older_version():
    harness = ViewHarness(x=M3, y=M3)
    target = harness.view.replicas['x']
    harness.view.record_version(target, 'm', 2)
    for slots in (3, 4):
        harness.clock.advance(1.0)
        harness.register(x=M3, y={**M3, 'slots': slots})
        assert not harness.view.has_version(target, 'm', 3)
    harness.register(x=M2, y=M3)
    assert harness.view.with_versions(target).versions == {'m': 2}
    harness.register(x=M3, y=M3)
    assert harness.view.has_version(target, 'm', 3)


# Guards against a target that nobody orders to load weights again: its report
# is some tenths of a second old, and hid that it had gone back.
def test_a_registration_counts_once_it_is_surely_the_newest():
    harness = ViewHarness(x=M3)
    target = harness.view.replicas['x']
    harness.register(x=M2)
    harness.view.record_version(target, 'm', 3)
    harness.clock.advance(4.9)
    harness.register(x=M2)
    assert harness.view.has_version(target, 'm', 3)
    # While the store is away the registration does not get newer.
    harness.clock.advance(5.0)
    assert harness.view.has_version(target, 'm', 3)
    harness.register(x=M2)
    assert not harness.view.has_version(target, 'm', 3)


M1 = {**A, 'versions': {'m': 1}}


def test_a_target_that_loads_weights_gets_no_items():
    """Many runners sent items to targets that refused them while loading."""
    harness = ViewHarness(x=M1, y=M1)
    harness.view.record_loading('x', 1.0)
    for _ in range(2):
        target = harness.view.choose_engine('s', 'm', 1)
        assert target.id == 'y'
        harness.view.begin_request(target)
    assert harness.view.choose_engine('s', 'm', 1) is None
    assert harness.view.loading_s() == {'x': 1.0}
    harness.clock.advance(1.1)
    assert harness.view.choose_engine('s', 'm', 1).id == 'x'


def test_a_slow_target_is_not_preferred_for_its_prompt():
    harness = ViewHarness(x=M1, y=M1, z=M1)
    for name, interval_s in (('x', 0.14), ('y', 0.04), ('z', 0.04)):
        target = harness.view.replicas[name]
        harness.view.record_event_interval(target, interval_s)
    assert harness.view.choose_engine('s', 'm', 1, ['x']).id != 'x'
    harness.clock.advance(replica_view.EVENT_INTERVAL_TTL_S)
    assert harness.view.choose_engine('s', 'm', 1, ['x']).id == 'x'


def test_an_avoided_target_is_used_if_there_is_no_other():
    harness = ViewHarness(x=M1)
    assert harness.view.choose_engine('s', 'm', 1, avoided='x').id == 'x'


def test_few_requests_at_hundreds_of_daemons_reuse_connections():
    """Each daemon opened connections to all targets for a request or two."""
    harness = ViewHarness(
        **{f't{n}': {**A, 'address': f'10.0.0.{n}:1'} for n in range(12)}
    )
    opened = set()
    harness.view.has_connection = lambda address: address in opened
    targets = []
    for _ in range(20):
        target = harness.view.choose('s')
        opened.add(target.address)
        targets.append(target.id)
    assert len(set(targets)) == 1
