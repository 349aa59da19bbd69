"""Positions of results with lost replies, delayed writes and two writers."""

import itertools
import random

from returns import result as outcome

from chestnutshunt.jobs import job_codec
from chestnutshunt.jobs import result
from chestnutshunt.jobs import result_log
from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store
from tests import late_store


def make_log(store, writer, log_type=result_log.ResultLog):
    return log_type(store, 'j', writer, manual_clock.ManualClock())


def make_results(*ids):
    return [result.Result(name, True, f'text of {name}') for name in ids]


def listed_ids(log):
    return [item.id for item in log.results]


def test_appends_and_pages():
    store = memory_store.MemoryStore()
    log = make_log(store, 'a')
    log.append(make_results('x', 'y')).unwrap()
    log.append(make_results('y', 'z')).unwrap()
    assert listed_ids(log) == ['x', 'y', 'z']
    assert [item.id for item in log.page(1)] == ['y', 'z']


def test_two_writers_agree_on_positions():
    store = memory_store.MemoryStore()
    one = make_log(store, 'a')
    two = make_log(store, 'b')
    one.append(make_results('x')).unwrap()
    two.append(make_results('y', 'x')).unwrap()
    one.append(make_results('z', 'y')).unwrap()
    two.load().unwrap()
    assert listed_ids(one) == listed_ids(two) == ['x', 'y', 'z']


def test_a_lost_reply_lists_no_result_twice():
    store = memory_store.MemoryStore()
    log = make_log(store, 'a')
    store.lose_replies = 1
    assert isinstance(log.append(make_results('x')), outcome.Failure)
    log.append(make_results('x')).unwrap()
    log.append(make_results('y')).unwrap()
    assert listed_ids(log) == ['x', 'y']


def test_a_delayed_write_changes_no_position():
    store = late_store.LateStore()
    log = make_log(store, 'a')
    store.hold_next = True
    assert isinstance(log.append(make_results('x')), outcome.Failure)
    log.append(make_results('x', 'y')).unwrap()
    before = listed_ids(log)
    store.release()
    fresh = make_log(store, 'b')
    fresh.load().unwrap()
    assert listed_ids(fresh) == before == ['x', 'y']


def test_refresh_reads_what_another_daemon_has_listed():
    store = memory_store.MemoryStore()
    one = make_log(store, 'a')
    two = make_log(store, 'b')
    two.load().unwrap()
    one.append(make_results('x')).unwrap()
    one.append(make_results('y')).unwrap()
    two.refresh(0.6).unwrap()
    assert listed_ids(two) == []
    two.clock.advance(0.7)
    two.refresh(0.6).unwrap()
    assert listed_ids(two) == ['x', 'y']


def test_refresh_fails_without_the_store():
    store = memory_store.MemoryStore()
    log = make_log(store, 'a')
    store.down = True
    assert isinstance(log.refresh(0.6), outcome.Failure)


def test_a_large_result_gets_a_segment_of_its_own():
    store = memory_store.MemoryStore()
    log = make_log(store, 'a')
    big = [result.Result(str(n), True, 'x' * 300_000) for n in range(5)]
    log.append(big).unwrap()
    assert len(store.list_kind(job_codec.log_kind('j')).unwrap().objects) == 5
    assert len(log.page(0)) == 2


def check_model(steps, log_type=result_log.ResultLog):
    """Run steps of two writers; return False if a position changed.

    Steps 0 and 1 append at a writer, 2 and 3 append with a delayed write, 4
    applies the delayed writes, 5 and 6 replace a writer that crashed.
    """
    store = late_store.LateStore()
    logs = [make_log(store, 'a', log_type), make_log(store, 'b', log_type)]
    seen = []
    starts = itertools.count()
    for number, step in enumerate(steps):
        item_ids = (f'i{number % 3}', f'i{(number + 1) % 3}')
        if step in (0, 1, 2, 3):
            store.hold_next = step >= 2
            logs[step % 2].append(make_results(*item_ids))
            store.hold_next = False
        elif step == 4:
            store.release()
        else:
            logs[step - 5] = make_log(store, f'w{next(starts)}', log_type)
        for log in logs:
            ids = listed_ids(log)
            if len(set(ids)) != len(ids):
                return False
            shorter, longer = sorted((ids, seen), key=len)
            if longer[: len(shorter)] != shorter:
                return False
            seen = longer
    return True


def test_all_short_histories_keep_positions():
    for steps in itertools.product(range(7), repeat=5):
        assert check_model(steps), steps


def test_long_random_histories_keep_positions():
    rng = random.Random(7)
    for _ in range(1500):
        steps = [rng.randrange(7) for _ in range(14)]
        assert check_model(steps), steps


class NonReadingLog(result_log.ResultLog):
    """Takes the next number without reading the segment that exists."""

    def load(self):
        self.segment_count += 1
        return outcome.Success(None)


def test_the_model_detects_a_log_that_does_not_read():
    histories = itertools.product(range(7), repeat=5)
    assert not all(check_model(steps, NonReadingLog) for steps in histories)
