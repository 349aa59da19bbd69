import pytest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chestnutshunt.admission import share
from chestnutshunt.admission import share_limiter
from chestnutshunt.admission import water_fill
from chestnutshunt import errors
from chestnutshunt import manual_clock
from chestnutshunt.store import memory_store

LIMIT = share.Share(requests=100.0, tokens=1000.0, concurrency=12.0)


def make(count):
    clock = manual_clock.ManualClock()
    platform = memory_store.MemoryStore()
    keepers = [
        share_limiter.ShareLimiter(platform, clock, 'w', f'd{number}/1')
        for number in range(count)
    ]
    return clock, platform, keepers


def ask(keeper, count, tokens=1.0):
    """Ask for admission `count` times; return how many were admitted."""
    admitted = 0
    for _ in range(count):
        try:
            keeper.acquire(tokens)
        except errors.LimitReached:
            continue
        admitted += 1
    for _ in range(admitted):
        keeper.release(0.0)
    return admitted


def adjust(keeper, limit=LIMIT, gone=frozenset()):
    """Adjust with what a mirror that does not lag would show."""
    seen = keeper.store.objects.get(('share', 'w'))
    keeper.adjust(seen, limit, set(gone))


def rounds(clock, keepers, loads, count=10):
    for _ in range(count):
        clock.advance(1.0)
        for keeper, load in zip(keepers, loads, strict=True):
            ask(keeper, load)
            keeper.update_demand()
            adjust(keeper)


def total(keepers):
    return sum(keeper.holding.requests for keeper in keepers)


def test_shares_follow_demand():
    clock, _, keepers = make(3)
    rounds(clock, keepers, [80, 5, 0])
    assert keepers[0].holding.requests > 75
    rounds(clock, keepers, [5, 80, 0], 20)
    assert keepers[1].holding.requests > 75
    assert total(keepers) <= 100.001


def test_greedy_daemons_share_evenly():
    clock, _, keepers = make(4)
    rounds(clock, keepers, [500] * 4, 20)
    for keeper in keepers:
        assert keeper.holding.requests == pytest.approx(25, rel=0.1)


def test_cut_off_daemon_keeps_its_share_and_no_more_is_given():
    clock, platform, keepers = make(2)
    rounds(clock, keepers, [50, 50])
    cut, other = keepers
    before = cut.holding
    platform.down = True
    cut.update_demand()
    adjust(cut)
    assert cut.holding == before
    platform.down = False
    for _ in range(10):
        clock.advance(1.0)
        ask(other, 500)
        other.update_demand()
        adjust(other)
    assert before.requests + other.holding.requests <= 100.001


def test_share_of_an_ended_daemon_is_free_again():
    clock, _, keepers = make(2)
    rounds(clock, keepers, [50, 50])
    other = keepers[1]
    for _ in range(5):
        clock.advance(1.0)
        ask(other, 500)
        other.update_demand()
        adjust(other, gone={'d0/1'})
    assert other.holding.requests > 95


def test_lowered_limit_holds_at_once():
    clock, _, keepers = make(2)
    rounds(clock, keepers, [100, 100])
    lower = share.Share(requests=10.0)
    for keeper in keepers:
        adjust(keeper, lower)
    assert total(keepers) <= 10.001


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
    clock, platform, keepers = make(3)
    old = None
    for place, load, fault, pause, lags in actions:
        clock.advance(pause)
        keeper = keepers[place]
        ask(keeper, load)
        if fault == 'hold':
            try:
                keeper.acquire(1.0)
            except errors.LimitReached:
                pass
        keeper.update_demand()
        platform.down = fault == 'down'
        platform.lose_replies = int(fault == 'lose')
        newest = platform.objects.get(('share', 'w'))
        keeper.adjust(old if lags else newest, LIMIT, set())
        old = newest
        platform.down = False
        for name in ('requests', 'tokens', 'concurrency'):
            held = sum(getattr(k.holding, name) for k in keepers)
            assert held <= getattr(LIMIT, name) + 0.01
        assert sum(k.in_flight for k in keepers) <= LIMIT.concurrency
