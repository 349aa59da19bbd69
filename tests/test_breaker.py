"""Ejection of targets: one fault that breaks many requests is one fault."""

import pytest

from chestnutshunt import manual_clock
from chestnutshunt.routing import breaker


@pytest.fixture
def held():
    return breaker.Breaker(manual_clock.ManualClock())


def ejected_s(held):
    """Return for how many seconds the target is given no work."""
    return max(held.ejected_until - held.source.now, 0.0)


def fail(held, times=breaker.FAILURES_TO_EJECT):
    for _ in range(times):
        held.failed()


def test_requests_that_one_reset_breaks_eject_once(held):
    """A sound target was left alone for 30 s when 12 items lost theirs."""
    fail(held, 12)
    assert ejected_s(held) == breaker.FIRST_EJECTION
    held.source.advance(breaker.FIRST_EJECTION)
    assert held.allows()


def test_a_target_that_fails_again_is_ejected_for_longer(held):
    lengths = []
    for _ in range(7):
        fail(held, 12)
        lengths.append(ejected_s(held))
        held.source.advance(lengths[-1])
    assert lengths == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]


def test_one_failure_after_an_ejection_ejects_again(held):
    fail(held)
    held.source.advance(1.0)
    held.failed()
    assert ejected_s(held) == 2.0


def test_a_success_begins_the_series_anew(held):
    fail(held)
    held.source.advance(1.0)
    held.succeeded()
    fail(held, breaker.FAILURES_TO_EJECT - 1)
    assert held.allows()
    held.failed()
    assert ejected_s(held) == breaker.FIRST_EJECTION
