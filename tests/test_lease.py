import pytest

from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store


@pytest.fixture
def pair():
    clock = manual_clock.ManualClock()
    platform = memory_store.MemoryStore()
    one, two = (
        lease.Lease(platform, clock, 'run/r', name, 6.0)
        for name in ('one', 'two')
    )
    return clock, platform, one, two


def test_one_holder_at_a_time(pair):
    clock, _, one, two = pair
    assert one.renew_or_acquire()
    for _ in range(20):
        clock.advance(2)
        assert one.renew_or_acquire()
        assert not two.renew_or_acquire()


def test_successor_waits_and_has_a_higher_fence(pair):
    clock, _, one, two = pair
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


def test_holder_that_was_paused_does_not_come_back(pair):
    clock, _, one, two = pair
    one.renew_or_acquire()
    two.renew_or_acquire()
    clock.advance(7)
    assert two.renew_or_acquire()
    assert not one.is_held
    assert not one.renew_or_acquire()
    assert not one.is_orphaned


def test_lost_reply_of_the_acquiring_call(pair):
    _, platform, one, two = pair
    platform.lose_replies = 1
    assert one.renew_or_acquire()
    assert not two.renew_or_acquire()


def test_release_needs_no_wait(pair):
    _, _, one, two = pair
    one.renew_or_acquire()
    one.release()
    assert not one.is_held
    assert two.renew_or_acquire()


def test_outage_orphans_but_does_not_extend(pair):
    clock, platform, one, two = pair
    one.renew_or_acquire()
    platform.down = True
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
    platform.down = False
    assert one.renew_or_acquire()
    assert not one.is_orphaned


def test_clocks_that_run_apart(pair):
    clock, platform, one, _ = pair
    fast = manual_clock.ManualClock()
    two = lease.Lease(platform, fast, 'run/r', 'two', 6.0)
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
    platform = memory_store.MemoryStore()
    source = manual_clock.ManualClock()
    ended = lease.Lease(platform, source, 'x', 'a', sole_process=True)
    assert ended.renew_or_acquire()
    again = lease.Lease(platform, source, 'x', 'a', sole_process=True)
    other = lease.Lease(platform, source, 'x', 'b', sole_process=True)
    assert not other.renew_or_acquire()
    assert again.renew_or_acquire()
    assert again.fence > ended.fence
    ended.renew_or_acquire()
    assert not ended.is_held


@pytest.fixture
def told():
    """A holder, and a successor that it told of its record."""
    platform = memory_store.MemoryStore()
    source = manual_clock.ManualClock()
    holder = lease.Lease(platform, source, 'x', 'a', duration_s=2.0)
    assert holder.renew_or_acquire()
    other = lease.Lease(platform, source, 'x', 'b', duration_s=2.0)
    other.observe_version(holder.version)
    return source, holder, other


def test_time_counts_from_what_the_holder_told(told):
    """An outage of the store made successors wait from its return."""
    source, _, other = told
    source.advance(2.3)
    assert other.renew_or_acquire()


def test_a_renewal_after_what_the_holder_told_counts(told):
    source, holder, other = told
    source.advance(1.5)
    assert holder.renew_or_acquire()
    source.advance(1.0)
    assert not other.renew_or_acquire()
    assert holder.is_held


def test_a_lease_that_lapses_while_its_renewal_fails_is_tried_again():
    """The work of a duty ended for a whole outage of the platform."""
    platform = memory_store.MemoryStore()
    source = manual_clock.ManualClock()
    held = lease.Lease(platform, source, 'x', 'a', duration_s=2.0)
    assert held.renew_or_acquire()
    platform.down = True
    source.advance(1.75)
    renew = held.renew

    def renew_slowly():
        renew()
        source.advance(0.1)

    held.renew = renew_slowly
    assert not held.renew_or_acquire()
    assert held.is_orphaned
