import contextlib
import threading

import pytest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chestnutshunt.admission import share
from chestnutshunt.admission import share_limiter
from chestnutshunt.admission import share_record
from chestnutshunt.admission import water_fill
from chestnutshunt import errors
from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store

LIMIT = share.Share(requests=100.0, tokens=1000.0, concurrency=12.0)


def make_limiters(count):
    clock = manual_clock.ManualClock()
    store = memory_store.MemoryStore()
    limiters = [
        share_limiter.ShareLimiter(store, clock, 'w', f'd{number}/1')
        for number in range(count)
    ]
    return clock, store, limiters


def offer_requests(limiter, count, tokens=1.0):
    """Request admission `count` times; return how many were admitted."""
    admitted = 0
    for _ in range(count):
        try:
            limiter.acquire(tokens)
        except errors.LimitReached:
            continue
        admitted += 1
    for _ in range(admitted):
        limiter.release(0.0)
    return admitted


def adjust(limiter, limit=LIMIT, gone=frozenset()):
    """Adjust with the record of an up-to-date mirror."""
    seen = limiter.store.objects.get(('share', 'w'))
    limiter.adjust(seen, limit, set(gone))


def run_rounds(clock, limiters, loads, count=10):
    for _ in range(count):
        clock.advance(1.0)
        for limiter, load in zip(limiters, loads, strict=True):
            offer_requests(limiter, load)
            limiter.update_demand()
            adjust(limiter)


def total_requests(limiters):
    return sum(limiter.holding.requests for limiter in limiters)


def test_shares_follow_demand():
    clock, _, limiters = make_limiters(3)
    run_rounds(clock, limiters, [80, 5, 0])
    assert limiters[0].holding.requests > 75
    run_rounds(clock, limiters, [5, 80, 0], 20)
    assert limiters[1].holding.requests > 75
    assert total_requests(limiters) <= 100.001


def test_greedy_daemons_share_evenly():
    clock, _, limiters = make_limiters(4)
    run_rounds(clock, limiters, [500] * 4, 20)
    for limiter in limiters:
        assert limiter.holding.requests == pytest.approx(25, rel=0.1)


def test_cut_off_daemon_keeps_its_share_and_no_more_is_given():
    clock, store, limiters = make_limiters(2)
    run_rounds(clock, limiters, [50, 50])
    cut, other = limiters
    before = cut.holding
    store.down = True
    cut.update_demand()
    adjust(cut)
    assert cut.holding == before
    store.down = False
    for _ in range(10):
        clock.advance(1.0)
        offer_requests(other, 500)
        other.update_demand()
        adjust(other)
    assert before.requests + other.holding.requests <= 100.001


def test_share_of_an_ended_daemon_is_free_again():
    clock, _, limiters = make_limiters(2)
    run_rounds(clock, limiters, [50, 50])
    other = limiters[1]
    for _ in range(5):
        clock.advance(1.0)
        offer_requests(other, 500)
        other.update_demand()
        adjust(other, gone={'d0/1'})
    assert other.holding.requests > 95


def test_lowered_limit_holds_at_once():
    clock, _, limiters = make_limiters(2)
    run_rounds(clock, limiters, [100, 100])
    lower = share.Share(requests=10.0)
    for limiter in limiters:
        adjust(limiter, lower)
    assert total_requests(limiters) <= 10.001


def test_water_fill():
    assert water_fill.water_fill(9, {'a': 1, 'b': 10, 'c': 10}) == {
        'a': 1,
        'b': 4,
        'c': 4,
    }
    assert water_fill.water_fill(9, {}) == {}


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.integers(0, 300),
            strategies.sampled_from(['run', 'down', 'lose', 'hold']),
            strategies.floats(0.01, 3),
            strategies.booleans(),
        ),
        max_size=40,
    )
)
def test_sum_never_exceeds_the_limit(actions):
    clock, store, limiters = make_limiters(3)
    old = None
    for place, load, fault, pause, lags in actions:
        clock.advance(pause)
        limiter = limiters[place]
        offer_requests(limiter, load)
        if fault == 'hold':
            try:
                limiter.acquire(1.0)
            except errors.LimitReached:
                pass
        limiter.update_demand()
        store.down = fault == 'down'
        store.lose_replies = int(fault == 'lose')
        newest = store.objects.get(('share', 'w'))
        limiter.adjust(old if lags else newest, LIMIT, set())
        old = newest
        store.down = False
        for name in ('requests', 'tokens', 'concurrency'):
            held = sum(getattr(k.holding, name) for k in limiters)
            assert held <= getattr(LIMIT, name) + 0.01
        assert sum(k.in_flight for k in limiters) <= LIMIT.concurrency


def test_no_request_is_admitted_while_a_holding_is_lowered(monkeypatch):
    """The holding that is given up must cover what runs by then."""
    limit = share.Share(concurrency=12.0)
    clock, _, (limiter, other) = make_limiters(2)
    for each in (limiter, other):
        each.adjust(None, limit, set())
    seen = other.store.get('share', 'w').unwrap()
    held = int(limiter.holding.concurrency)
    for _ in range(held // 2):
        limiter.acquire(1.0)
    rebalanced = share_record.ShareRecord.rebalanced

    def admit():
        with contextlib.suppress(errors.LimitReached):
            while True:
                limiter.acquire(1.0)

    def rebalance_while_callers_come(*args):
        thread = threading.Thread(target=admit)
        thread.start()
        thread.join(0.2)
        return rebalanced(*args)

    other.offered_requests = 1000
    other.peak_in_flight = 1000
    clock.advance(1.0)
    other.update_demand()
    other.adjust(seen, limit, set())
    monkeypatch.setattr(
        share_record.ShareRecord, 'rebalanced', rebalance_while_callers_come
    )
    seen = other.store.get('share', 'w').unwrap()
    limiter.adjust(seen, limit, set())
    clock.advance(1.0)
    assert limiter.in_flight <= limiter.holding.concurrency
