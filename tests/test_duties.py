"""Tests when the worker of a duty ends as the duty's lease lapses."""

import pytest

from chestnutshunt_daemon import duties
from chestnutshunt_daemon import peer_channel
from chestnutshunt_daemon import usage_reporter
from tests import daemon_parts


class Worker:
    def __init__(self):
        self.ended = False
        self.is_alive = True

    def stop(self):
        self.ended = True


@pytest.fixture
def manager():
    manager = duties.DutyManager(daemon_parts.make_node(lease_s=2.0))
    manager.worker = Worker()
    duty = duties.Duty(manager.make_lease(duties.USAGE_DUTY), manager.worker)
    manager.duties[duties.USAGE_DUTY] = duty
    assert duty.duty_lease.renew_or_acquire()
    return manager


def test_a_lease_that_lapses_right_after_its_renewal_failed(manager):
    """The worker goes on when only the platform is unreachable.

    The lease expired between the failed renewal and the check for an
    orphaned lease, so that the worker was stopped and a run made no steps
    for the whole outage.
    """
    manager.state.store.store.down = True
    duty_lease = manager.duties[duties.USAGE_DUTY].duty_lease
    tend = duty_lease.renew_or_acquire

    def tend_then_wait():
        is_held = tend()
        manager.state.clock.advance(0.1)
        duty_lease.renew_or_acquire = tend
        return is_held

    duty_lease.renew_or_acquire = tend_then_wait
    manager.state.clock.advance(1.75)
    manager.update_duty(duties.USAGE_DUTY, True)
    assert not manager.worker.ended
    manager.update_duty(duties.USAGE_DUTY, True)
    assert duty_lease.is_orphaned
    assert not manager.worker.ended


def test_a_lease_that_another_has_taken_ends_the_work(manager):
    manager.state.clock.advance(2.5)
    other = manager.make_lease(duties.USAGE_DUTY)
    other.renew_or_acquire()
    manager.state.clock.advance(2.5)
    assert other.renew_or_acquire()
    manager.update_duty(duties.USAGE_DUTY, True)
    assert manager.worker.ended


def test_a_worker_that_has_ended_by_itself_gives_the_duty_up(manager):
    """A lease renewed without a worker keeps the others from taking over."""
    manager.worker.is_alive = False
    duty_lease = manager.duties[duties.USAGE_DUTY].duty_lease
    manager.update_duty(duties.USAGE_DUTY, True)
    assert not duty_lease.is_held
    assert duties.USAGE_DUTY not in manager.duties


def test_an_unexpected_error_does_not_end_a_duty():
    """A channel closed by its link ended the thread of the usage duty."""
    node = daemon_parts.make_node(lease_s=2.0)
    manager = duties.DutyManager(node)
    rounds = []
    worker = usage_reporter.UsageReporter(
        node, manager.make_lease(duties.USAGE_DUTY)
    )

    def fail_once():
        rounds.append(1)
        if len(rounds) == 1:
            raise peer_channel.ChannelClosed('closed')
        worker.stop()

    worker.period_s = 0.0
    worker.run_once = fail_once
    worker.start()
    worker.thread.join(10)
    assert len(rounds) == 2
