"""Ejection of targets: one fault that breaks many requests is one fault."""

import logging

import pytest

from chestnutshunt import manual_clock
from chestnutshunt.routing import breaker


@pytest.fixture
def held():
    return breaker.CircuitBreaker(manual_clock.ManualClock(), 't1')


def ejected_s(held):
    """Return for how many seconds the target is given no work."""
    return max(held.ejected_until - held.clock.now, 0.0)


def fail(held, times=breaker.EJECTION_FAILURE_COUNT):
    for _ in range(times):
        held.record_failure()


def test_requests_that_one_reset_breaks_eject_once(held):
    """A sound target was left alone for 30 s when 12 items lost theirs."""
    fail(held, 12)
    assert ejected_s(held) == breaker.FIRST_EJECTION_S
    held.clock.advance(breaker.FIRST_EJECTION_S)
    assert held.allows_requests()


def test_a_target_that_fails_again_is_ejected_for_longer(held):
    lengths = []
    for _ in range(7):
        fail(held, 12)
        lengths.append(ejected_s(held))
        held.clock.advance(lengths[-1])
    assert lengths == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]


def test_one_failure_after_an_ejection_ejects_again(held):
    fail(held)
    held.clock.advance(1.0)
    held.record_failure()
    assert ejected_s(held) == 2.0


def test_a_success_begins_the_series_anew(held):
    fail(held)
    held.clock.advance(1.0)
    held.record_success()
    fail(held, breaker.EJECTION_FAILURE_COUNT - 1)
    assert held.allows_requests()
    held.record_failure()
    assert ejected_s(held) == breaker.FIRST_EJECTION_S


def test_an_ejection_and_its_end_are_logged_once_each(held, caplog):
    """Without a line, an idle target could not be explained afterwards."""
    with caplog.at_level(logging.INFO):
        fail(held, 12)
        held.clock.advance(1.0)
        held.record_success()
        held.record_success()
    lines = [(x.msg, x.target) for x in caplog.records]
    assert lines == [('Target ejected', 't1'), ('Target works again', 't1')]
    assert caplog.records[0].seconds == breaker.FIRST_EJECTION_S
