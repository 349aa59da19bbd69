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
