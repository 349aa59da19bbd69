"""Permits that one daemon issues for all."""

from chestnutshunt import manual_clock
from chestnutshunt.ratelimit import permit_issuer


def make_issuer():
    issuer = permit_issuer.PermitIssuer(manual_clock.ManualClock())
    issuer.issue('t/1', 2.0, 0)
    return issuer


def test_new_issuer_has_no_permits():
    issuer = permit_issuer.PermitIssuer(manual_clock.ManualClock())
    permits = issuer.issue('t/1', 2.0, 3)
    assert permits == permit_issuer.Permits(0, 0.5)


def test_permits_accrue_at_the_rate_and_up_to_one_second():
    issuer = make_issuer()
    issuer.clock.advance(0.5)
    assert issuer.issue('t/1', 2.0, 3).count == 1
    issuer.clock.advance(60.0)
    assert issuer.issue('t/1', 2.0, 9).count == 2


def test_retry_tells_when_the_next_permit_is_due():
    issuer = make_issuer()
    permits = issuer.issue('t/1', 2.0, 1)
    issuer.clock.advance(permits.retry_s)
    assert issuer.issue('t/1', 2.0, 1).count == 1


def test_requests_without_a_permit_delay_later_permits():
    issuer = make_issuer()
    issuer.clock.advance(1.0)
    assert issuer.issue('t/1', 2.0, 0, spent=3).count == 0
    issuer.clock.advance(0.5)
    assert issuer.issue('t/1', 2.0, 1).count == 0
    issuer.clock.advance(0.5)
    assert issuer.issue('t/1', 2.0, 1).count == 1


def test_a_part_of_zero_issues_nothing():
    issuer = make_issuer()
    issuer.clock.advance(9.0)
    assert issuer.issue('t/1', 0.0, 1).count == 0
