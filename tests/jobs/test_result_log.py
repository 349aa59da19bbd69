"""Positions of results, under lost replies, late writes and two writers."""

import itertools
import random

from returns import result as outcome

from chestnutshunt.jobs import job_codec
from chestnutshunt.jobs import result
from chestnutshunt.jobs import result_log
from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store
from tests import late_store


def make(store, writer, log_type=result_log.ResultLog):
    return log_type(store, 'j', writer, manual_clock.ManualClock())


def made(*ids):
    return [result.Result(name, True, f'text of {name}') for name in ids]


def listed(log):
    return [item.id for item in log.results]


def test_appends_and_pages():
    store = memory_store.MemoryStore()
    log = make(store, 'a')
    log.append(made('x', 'y')).unwrap()
    log.append(made('y', 'z')).unwrap()
    assert listed(log) == ['x', 'y', 'z']
    assert [item.id for item in log.page(1)] == ['y', 'z']


def test_two_writers_agree_on_positions():
    store = memory_store.MemoryStore()
    one = make(store, 'a')
    two = make(store, 'b')
    one.append(made('x')).unwrap()
    two.append(made('y', 'x')).unwrap()
    one.append(made('z', 'y')).unwrap()
    two.load().unwrap()
    assert listed(one) == listed(two) == ['x', 'y', 'z']


def test_a_lost_reply_lists_nothing_twice():
    store = memory_store.MemoryStore()
    log = make(store, 'a')
    store.lose_replies = 1
    assert isinstance(log.append(made('x')), outcome.Failure)
    log.append(made('x')).unwrap()
    log.append(made('y')).unwrap()
    assert listed(log) == ['x', 'y']


def test_a_write_that_takes_effect_later_moves_no_position():
    store = late_store.LateStore()
    log = make(store, 'a')
    store.hold_next = True
    assert isinstance(log.append(made('x')), outcome.Failure)
    log.append(made('x', 'y')).unwrap()
    before = listed(log)
    store.release()
    fresh = make(store, 'b')
    fresh.load().unwrap()
    assert listed(fresh) == before == ['x', 'y']


def test_a_reader_sees_what_another_daemon_has_listed():
    store = memory_store.MemoryStore()
    one = make(store, 'a')
    two = make(store, 'b')
    two.load().unwrap()
    one.append(made('x')).unwrap()
    one.append(made('y')).unwrap()
    two.refresh(0.6).unwrap()
    assert listed(two) == []
    two.clock.advance(0.7)
    two.refresh(0.6).unwrap()
    assert listed(two) == ['x', 'y']


def test_without_the_store_a_reader_is_not_sure():
    store = memory_store.MemoryStore()
    log = make(store, 'a')
    store.down = True
    assert isinstance(log.refresh(0.6), outcome.Failure)


def test_a_large_result_gets_a_segment_of_its_own():
    store = memory_store.MemoryStore()
    log = make(store, 'a')
    big = [result.Result(str(n), True, 'x' * 300_000) for n in range(5)]
    log.append(big).unwrap()
    assert len(store.list_kind(job_codec.log_kind('j')).unwrap().objects) == 5
    assert len(log.page(0)) == 2


def check_model(steps, log_type=result_log.ResultLog):
    """Run steps of two writers; return False if a position changed.

    Steps: 0 and 1 append at a writer, 2 and 3 do so with a late write, 4
    lets late writes take effect, 5 and 6 replace a writer that crashed.
    """
    store = late_store.LateStore()
    logs = [make(store, 'a', log_type), make(store, 'b', log_type)]
    seen = []
    starts = itertools.count()
    for number, step in enumerate(steps):
        ids = (f'i{number % 3}', f'i{(number + 1) % 3}')
        if step in (0, 1, 2, 3):
            store.hold_next = step >= 2
            logs[step % 2].append(made(*ids))
            store.hold_next = False
        elif step == 4:
            store.release()
        else:
            logs[step - 5] = make(store, f'w{next(starts)}', log_type)
        for log in logs:
            held = listed(log)
            if len(set(held)) != len(held):
                return False
            shorter, longer = sorted((held, seen), key=len)
            if longer[: len(shorter)] != shorter:
                return False
            seen = longer
    return True


def test_every_order_of_short_histories_keeps_positions():
    for steps in itertools.product(range(7), repeat=5):
        assert check_model(steps), steps


def test_long_random_histories_keep_positions():
    chance = random.Random(7)
    for _ in range(1500):
        steps = [chance.randrange(7) for _ in range(14)]
        assert check_model(steps), steps


class Careless(result_log.ResultLog):
    """Takes the next number without reading what another has written."""

    def load(self):
        self.segment_count += 1
        return outcome.Success(None)


def test_the_model_notices_a_log_without_its_safeguard():
    histories = itertools.product(range(7), repeat=5)
    assert not all(check_model(steps, Careless) for steps in histories)
