"""Which requests count as crashing targets."""

import pytest

from chestnutshunt.attempts import quarantine
from chestnutshunt import manual_clock


@pytest.fixture
def clock():
    return manual_clock.ManualClock()


def test_targets_that_fall_together_count_once(clock):
    """A request moved from one target of a lost host to the other."""
    crashes = quarantine.Quarantine(clock)
    crashes.record_crash('digest', 't1')
    clock.advance(0.01)
    crashes.record_crash('digest', 't2')
    assert crashes.refuses('digest')
    clock.advance(quarantine.PROBATION_S)
    assert not crashes.refuses('digest')


def test_targets_that_fall_one_after_the_other_count_each(clock):
    crashes = quarantine.Quarantine(clock)
    crashes.record_crash('digest', 't1')
    clock.advance(0.01)
    crashes.record_crash('digest', 't2')
    clock.advance(0.4)
    crashes.record_crash('digest', 't3')
    clock.advance(2 * quarantine.PROBATION_S)
    assert crashes.refuses('digest')


@pytest.mark.parametrize(('gap_s', 'refused'), [(0.4, True), (0.01, False)])
def test_a_peer_counts_the_same_crashes(clock, gap_s, refused):
    here, there = quarantine.Quarantine(clock), quarantine.Quarantine(clock)
    there.record_crash('digest', 't1')
    clock.advance(gap_s)
    there.record_crash('digest', 't2')
    clock.advance(1)
    here.merge_peer_report(there.snapshot())
    assert here.refuses('digest')
    clock.advance(quarantine.PROBATION_S)
    assert here.refuses('digest') is refused
    assert there.refuses('digest') is refused


# Guards against DENIED: a usual request was refused for an hour after two
# crashes, however often it had been served in between.
def test_crashes_before_a_request_was_served_do_not_count(clock):
    crashes = quarantine.Quarantine(clock)
    for number in range(6):
        crashes.record_crash('digest', f't{number}')
        clock.advance(1.0)
        crashes.record_served('digest')
        assert not crashes.refuses('digest')
    crashes.record_crash('digest', 't7')
    clock.advance(1.0)
    crashes.record_crash('digest', 't8')
    assert crashes.refuses('digest')


def test_request_that_is_served_during_its_probation(clock):
    crashes = quarantine.Quarantine(clock)
    crashes.record_crash('digest', 't1')
    crashes.record_crash('digest', 't2')
    assert crashes.refuses('digest')
    clock.advance(0.1)
    crashes.record_served('digest')
    assert not crashes.refuses('digest')


def test_old_report_of_a_peer_does_not_bring_crashes_back(clock):
    here, there = quarantine.Quarantine(clock), quarantine.Quarantine(clock)
    for number in range(2):
        there.record_crash('digest', f't{number}')
        clock.advance(1.0)
    here.merge_peer_report(there.snapshot())
    here.record_served('digest')
    for _ in range(3):
        clock.advance(1.0)
        here.merge_peer_report(there.snapshot())
        assert not here.refuses('digest')
    there.record_served('digest', here.served_ages()['digest'])
    assert not there.refuses('digest')
    there.record_crash('digest', 't5')
    clock.advance(1.0)
    there.record_crash('digest', 't6')
    assert there.refuses('digest')


def test_requests_without_crashes_are_not_remembered(clock):
    crashes = quarantine.Quarantine(clock)
    crashes.record_served('digest')
    assert not crashes.served_ages()
