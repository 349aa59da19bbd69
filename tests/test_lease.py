import pytest

from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store


@pytest.fixture
def two_leases():
    clock = manual_clock.ManualClock()
    store = memory_store.MemoryStore()
    one, two = (
        lease.Lease(store, clock, 'run/r', name, 6.0)
        for name in ('one', 'two')
    )
    return clock, store, one, two


def test_one_holder_at_a_time(two_leases):
    clock, _, one, two = two_leases
    assert one.renew_or_acquire()
    for _ in range(20):
        clock.advance(2)
        assert one.renew_or_acquire()
        assert not two.renew_or_acquire()


def test_successor_waits_and_has_a_higher_fence(two_leases):
    clock, _, one, two = two_leases
    one.renew_or_acquire()
    fence = one.require_fence()
    assert not two.renew_or_acquire()
    clock.advance(5.5)
    assert not one.is_held
    assert not two.renew_or_acquire()
    clock.advance(1.2)
    assert two.renew_or_acquire()
    assert two.require_fence() > fence
    with pytest.raises(errors.NotHolder):
        one.require_fence()


def test_holder_that_was_paused_does_not_come_back(two_leases):
    clock, _, one, two = two_leases
    one.renew_or_acquire()
    two.renew_or_acquire()
    clock.advance(7)
    assert two.renew_or_acquire()
    assert not one.is_held
    assert not one.renew_or_acquire()
    assert not one.is_orphaned


def test_lost_reply_of_the_acquiring_call(two_leases):
    _, store, one, two = two_leases
    store.lose_replies = 1
    assert one.renew_or_acquire()
    assert not two.renew_or_acquire()


def test_release_needs_no_wait(two_leases):
    _, _, one, two = two_leases
    one.renew_or_acquire()
    one.release()
    assert not one.is_held
    assert two.renew_or_acquire()


def test_outage_orphans_but_does_not_extend(two_leases):
    clock, store, one, two = two_leases
    one.renew_or_acquire()
    store.down = True
    clock.advance(3)
    one.renew_or_acquire()
    assert one.is_held
    assert not one.is_orphaned
    clock.advance(3)
    assert not one.is_held
    assert not one.is_orphaned
    one.renew_or_acquire()
    assert one.is_orphaned
    assert not two.renew_or_acquire()
    store.down = False
    assert one.renew_or_acquire()
    assert not one.is_orphaned


def test_clocks_that_run_apart(two_leases):
    clock, store, one, _ = two_leases
    fast = manual_clock.ManualClock()
    two = lease.Lease(store, fast, 'run/r', 'two', 6.0)
    one.renew_or_acquire()
    two.renew_or_acquire()
    for _ in range(100):
        clock.advance(0.1)
        fast.advance(0.1 * 1.09)
        if two.renew_or_acquire():
            break
        assert not (one.is_held and two.is_held)
    assert two.is_held
    assert not one.is_held


def test_a_process_started_anew_takes_its_own_lease_back():
    store = memory_store.MemoryStore()
    clock = manual_clock.ManualClock()
    first = lease.Lease(store, clock, 'x', 'a', sole_process=True)
    assert first.renew_or_acquire()
    restarted = lease.Lease(store, clock, 'x', 'a', sole_process=True)
    other = lease.Lease(store, clock, 'x', 'b', sole_process=True)
    assert not other.renew_or_acquire()
    assert restarted.renew_or_acquire()
    assert restarted.fence > first.fence
    first.renew_or_acquire()
    assert not first.is_held


@pytest.fixture
def announced_lease():
    """A holder, and a successor to which it announced its version."""
    store = memory_store.MemoryStore()
    clock = manual_clock.ManualClock()
    holder = lease.Lease(store, clock, 'x', 'a', duration_s=2.0)
    assert holder.renew_or_acquire()
    other = lease.Lease(store, clock, 'x', 'b', duration_s=2.0)
    other.observe_version(holder.version)
    return clock, holder, other


def test_time_counts_from_what_the_holder_told(announced_lease):
    """Else a successor waits a full duration after a store outage."""
    clock, _, other = announced_lease
    clock.advance(2.3)
    assert other.renew_or_acquire()


def test_a_renewal_after_what_the_holder_told_counts(announced_lease):
    clock, holder, other = announced_lease
    clock.advance(1.5)
    assert holder.renew_or_acquire()
    clock.advance(1.0)
    assert not other.renew_or_acquire()
    assert holder.is_held


def test_a_lease_that_lapses_while_its_renewal_fails_is_tried_again():
    """Else the duty's work stops for the whole outage of the platform."""
    store = memory_store.MemoryStore()
    clock = manual_clock.ManualClock()
    holder = lease.Lease(store, clock, 'x', 'a', duration_s=2.0)
    assert holder.renew_or_acquire()
    store.down = True
    clock.advance(1.75)
    renew = holder.renew

    def renew_slowly():
        renew()
        clock.advance(0.1)

    holder.renew = renew_slowly
    assert not holder.renew_or_acquire()
    assert holder.is_orphaned
