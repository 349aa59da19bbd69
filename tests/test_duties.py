"""What becomes of a duty's work when its lease lapses."""

import pytest

from chestnutshunt_daemon import duties
from tests import daemon_parts


class Work:
    def __init__(self):
        self.ended = False

    def stop(self):
        self.ended = True


@pytest.fixture
def held():
    made = duties.DutyManager(daemon_parts.make_node(lease_s=2.0))
    made.work = Work()
    duty = duties.Duty(made.make_lease(duties.USAGE_DUTY), made.work)
    made.duties[duties.USAGE_DUTY] = duty
    assert duty.duty_lease.renew_or_acquire()
    return made


def test_a_lease_that_lapses_right_after_its_renewal_failed(held):
    """A run's steps stopped for a whole outage of the platform."""
    held.held.store.store.down = True
    charge = held.duties[duties.USAGE_DUTY].charge
    tend = charge.renew_or_acquire

    def tend_then_wait():
        is_held = tend()
        held.held.clock.advance(0.1)
        charge.renew_or_acquire = tend
        return is_held

    charge.renew_or_acquire = tend_then_wait
    held.held.clock.advance(1.75)
    held.update_duty(duties.USAGE_DUTY, True)
    assert not held.work.ended
    held.update_duty(duties.USAGE_DUTY, True)
    assert charge.is_orphaned
    assert not held.work.ended


def test_a_lease_that_another_has_taken_ends_the_work(held):
    held.held.clock.advance(2.5)
    other = held.make_lease(duties.USAGE_DUTY)
    other.renew_or_acquire()
    held.held.clock.advance(2.5)
    assert other.renew_or_acquire()
    held.update_duty(duties.USAGE_DUTY, True)
    assert held.work.ended
