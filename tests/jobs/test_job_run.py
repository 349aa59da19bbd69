"""Listing results while the store loses replies, is slow or away."""

import pytest
from returns import result as outcome

from chestnutshunt import errors
from chestnutshunt.jobs import result
from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store
from chestnutshunt_daemon.jobs import job_run
from tests.jobs import test_acceptance

CALL_S = 0.5
"""Seconds that a call without a reply takes."""


class Store(memory_store.MemoryStore):
    """Store whose calls take time when something is wrong."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.refusals = 0
        self.tries = []

    def put(self, kind, name, value, expected):
        self.tries.append(self.clock.now)
        if self.refusals:
            self.refusals -= 1
            busy = errors.PlatformUnavailable('The store is busy.')
            return outcome.Failure(busy)
        if self.lose_replies:
            self.clock.advance(CALL_S)
        return super().put(kind, name, value, expected)


@pytest.fixture
def run():
    clock = manual_clock.ManualClock()
    made = job_run.JobRun(test_acceptance.make_job(), Store(clock), clock)
    for name in list(made.item_states)[:2]:
        found = result.Result(name, True, 'text')
        made.finish(made.item_states[name], found)
    return made


def test_a_lost_reply_is_followed_up_at_once(run):
    """Trainers waited for steps while a retry waited for nothing."""
    run.log.store.lose_replies = 1
    began = run.clock.now
    run.list_pending()
    assert len(run.log.listed) == 2
    assert not run.pending
    assert run.clock.now - began == CALL_S


def test_a_store_that_refuses_at_once_is_not_flooded(run):
    run.log.store.refusals = 3
    run.list_pending()
    assert len(run.log.listed) == 2
    tries = run.log.store.tries
    gaps = [b - a for a, b in zip(tries, tries[1:], strict=False)]
    assert gaps == pytest.approx([job_run.RETRY_S] * 3)


def test_a_job_that_has_ended_is_not_tried_again(run):
    run.log.store.refusals = 10**6
    original = run.clock.sleep

    def end_after_three(seconds):
        original(seconds)
        if len(run.log.store.tries) == 3:
            run.end()

    run.clock.sleep = end_after_three
    run.list_pending()
    assert len(run.log.store.tries) == 3


def test_what_finishes_meanwhile_is_listed_with_the_next_try(run):
    run.log.store.refusals = 1
    last = list(run.item_states)[2]
    original = run.clock.sleep

    def finish_meanwhile(seconds):
        original(seconds)
        found = result.Result(last, True, 'text')
        run.finish(run.item_states[last], found)

    run.clock.sleep = finish_meanwhile
    run.list_pending()
    assert run.is_done
