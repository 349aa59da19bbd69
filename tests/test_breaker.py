"""A fault that breaks many requests at once ejects a target only once."""

import logging

import pytest

from chestnutshunt import manual_clock
from chestnutshunt.routing import breaker


@pytest.fixture
def target_breaker():
    return breaker.CircuitBreaker(manual_clock.ManualClock(), 't1')


def ejected_s(target_breaker):
    """Return the remaining ejection in seconds."""
    return max(target_breaker.ejected_until - target_breaker.clock.now, 0.0)


def fail(target_breaker, times=breaker.EJECTION_FAILURE_COUNT):
    for _ in range(times):
        target_breaker.record_failure()


def test_requests_that_one_reset_breaks_eject_once(target_breaker):
    """One reset that broke 12 requests ejected a healthy target for 30 s."""
    fail(target_breaker, 12)
    assert ejected_s(target_breaker) == breaker.FIRST_EJECTION_S
    target_breaker.clock.advance(breaker.FIRST_EJECTION_S)
    assert target_breaker.allows_requests()


def test_a_target_that_fails_again_is_ejected_for_longer(target_breaker):
    lengths = []
    for _ in range(7):
        fail(target_breaker, 12)
        lengths.append(ejected_s(target_breaker))
        target_breaker.clock.advance(lengths[-1])
    assert lengths == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]


def test_one_failure_after_an_ejection_ejects_again(target_breaker):
    fail(target_breaker)
    target_breaker.clock.advance(1.0)
    target_breaker.record_failure()
    assert ejected_s(target_breaker) == 2.0


def test_a_success_begins_the_series_anew(target_breaker):
    fail(target_breaker)
    target_breaker.clock.advance(1.0)
    target_breaker.record_success()
    fail(target_breaker, breaker.EJECTION_FAILURE_COUNT - 1)
    assert target_breaker.allows_requests()
    target_breaker.record_failure()
    assert ejected_s(target_breaker) == breaker.FIRST_EJECTION_S


def test_an_ejection_and_its_end_are_logged_once_each(target_breaker, caplog):
    """The log has to explain why a target received no requests."""
    with caplog.at_level(logging.INFO):
        fail(target_breaker, 12)
        target_breaker.clock.advance(1.0)
        target_breaker.record_success()
        target_breaker.record_success()
    lines = [(x.msg, x.target) for x in caplog.records]
    assert lines == [('Target ejected', 't1'), ('Target works again', 't1')]
    assert caplog.records[0].seconds == breaker.FIRST_EJECTION_S


def test_a_probe_that_succeeds_ends_an_ejection(target_breaker):
    fail(target_breaker)
    target_breaker.record_success()
    assert not target_breaker.allows_requests()
    assert target_breaker.may_probe()
    target_breaker.record_probe()
    assert not target_breaker.may_probe()
    target_breaker.record_success()
    assert target_breaker.allows_requests()


def test_a_probe_that_fails_ends_no_ejection(target_breaker):
    fail(target_breaker)
    target_breaker.record_probe()
    target_breaker.record_failure()
    assert ejected_s(target_breaker) == breaker.FIRST_EJECTION_S
    target_breaker.clock.advance(breaker.PROBE_PERIOD_S)
    assert target_breaker.may_probe()
