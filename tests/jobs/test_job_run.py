"""Listing of results while the store fails or loses replies."""

import pytest
from returns import result as outcome

from chestnutshunt import errors
from chestnutshunt.jobs import result
from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store
from chestnutshunt_daemon.jobs import job_run
from tests.jobs import test_acceptance

# Time that a call without a reply takes.
LOST_REPLY_S = 0.5


class FailingStore(memory_store.MemoryStore):
    """Store that refuses some writes and takes time when it loses a reply."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.refusals = 0
        self.tries = []

    def put(self, kind, name, value, expected):
        self.tries.append(self.clock.now)
        if self.refusals:
            self.refusals -= 1
            error = errors.PlatformUnavailable('The store is busy.')
            return outcome.Failure(error)
        if self.lose_replies:
            self.clock.advance(LOST_REPLY_S)
        return super().put(kind, name, value, expected)


@pytest.fixture
def run():
    clock = manual_clock.ManualClock()
    new_run = job_run.JobRun(
        test_acceptance.make_job(), FailingStore(clock), clock
    )
    for name in list(new_run.item_states)[:2]:
        item_result = result.Result(name, True, 'text')
        new_run.finish(new_run.item_states[name], item_result)
    return new_run


def test_lost_reply_is_retried_at_once(run):
    """The call itself took longer than the delay between retries.

    With a further delay, trainers waited longer for their steps.
    """
    run.result_log.store.lose_replies = 1
    started_at = run.clock.now
    run.list_pending()
    assert len(run.result_log.results) == 2
    assert not run.pending_results
    assert run.clock.now - started_at == LOST_REPLY_S


def test_immediate_failures_are_retried_after_a_delay(run):
    run.result_log.store.refusals = 3
    run.list_pending()
    assert len(run.result_log.results) == 2
    tries = run.result_log.store.tries
    gaps = [b - a for a, b in zip(tries, tries[1:], strict=False)]
    assert gaps == pytest.approx([job_run.RETRY_S] * 3)


def test_ended_job_is_not_retried(run):
    run.result_log.store.refusals = 10**6
    original = run.clock.sleep

    def end_after_three(seconds):
        original(seconds)
        if len(run.result_log.store.tries) == 3:
            run.end()

    run.clock.sleep = end_after_three
    run.list_pending()
    assert len(run.result_log.store.tries) == 3


def test_results_that_finish_during_a_retry_are_listed_with_it(run):
    run.result_log.store.refusals = 1
    last = list(run.item_states)[2]
    original = run.clock.sleep

    def finish_meanwhile(seconds):
        original(seconds)
        item_result = result.Result(last, True, 'text')
        run.finish(run.item_states[last], item_result)

    run.clock.sleep = finish_meanwhile
    run.list_pending()
    assert run.is_done
