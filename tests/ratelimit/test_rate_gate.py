"""Permits of one daemon for targets that limit their rate."""

from chestnutshunt import manual_clock
from chestnutshunt.ratelimit import permit_grant
from chestnutshunt.ratelimit import rate_gate
from chestnutshunt.replicas import replica

TARGET = replica.Replica('t', 's', 'a:1', 'x', started_ms=7)
KEY = TARGET.start_key


def make_gate(rate=2.0):
    gate = rate_gate.RateGate(manual_clock.ManualClock())
    if rate is not None:
        gate.limits.observe(TARGET, rate, gate.clock.monotonic())
    return gate


def accept(gate, count, retry_s=0.0, rate=2.0):
    now = gate.clock.monotonic()
    gate.accept([permit_grant.PermitGrant(KEY, count, retry_s, rate, 0)], now)


def test_target_without_limit_needs_no_permit():
    gate = make_gate(None)
    assert gate.allows(TARGET)
    assert gate.take(TARGET)
    gate.spend(TARGET)
    assert gate.collect() == []


def test_each_permit_is_used_once():
    gate = make_gate()
    assert not gate.take(TARGET)
    accept(gate, 2)
    assert gate.allows(TARGET)
    assert [gate.take(TARGET) for _ in range(3)] == [True, True, False]
    assert not gate.allows(TARGET)


def test_unused_permit_expires():
    gate = make_gate()
    accept(gate, 1)
    gate.clock.advance(rate_gate.PERMIT_TTL_S)
    assert not gate.take(TARGET)


def test_wants_of_all_sources_are_collected_until_they_expire():
    gate = make_gate()
    gate.want(TARGET, 'q1')
    gate.want(TARGET, 'q1', 2)
    gate.want(TARGET, 'j1', 3)
    assert gate.wanted.is_set()
    assert gate.has_wants()
    (want,) = gate.collect()
    assert (want.start_key, want.count, want.rate) == (KEY, 5, 2.0)
    gate.clock.advance(rate_gate.WANT_TTL_S)
    assert not gate.has_wants()
    assert gate.collect() == []


def test_held_permits_are_not_wanted_again():
    gate = make_gate()
    accept(gate, 2)
    gate.want(TARGET, 'j1', 3)
    assert [want.count for want in gate.collect()] == [1]


def test_no_call_before_the_issuer_has_more():
    gate = make_gate()
    accept(gate, 0, retry_s=0.2)
    gate.want(TARGET, 'q1')
    assert gate.collect() == []
    gate.clock.advance(0.2)
    assert len(gate.collect()) == 1


# Guards against LIMIT: orders to load weights are requests to the target, too.
def test_requests_without_a_permit_are_reported_once():
    gate = make_gate()
    accept(gate, 0, retry_s=9.0)
    gate.spend(TARGET)
    gate.spend(TARGET)
    assert gate.wanted.is_set()
    assert [(x.count, x.spent) for x in gate.collect()] == [(0, 2)]
    assert gate.collect() == []


def test_issuer_that_knows_better_lifts_the_limit():
    gate = make_gate()
    gate.clock.advance(1.0)
    accept(gate, 0, rate=None)
    assert gate.take(TARGET)
