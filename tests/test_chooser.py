import random

from chestnutshunt import manual_clock
from chestnutshunt.routing import chooser
from chestnutshunt.routing import load_view
from chestnutshunt.routing import target

PLACE = chooser.Place('a', {'a': 'r1', 'b': 'r1', 'c': 'r2'})


def make(count, datacentre='a', **fields):
    return [
        target.Target(f'{datacentre}{n}', 's', 'x', datacentre, **fields)
        for n in range(count)
    ]


def chooser_with(clock=None):
    loads = load_view.LoadView(clock or manual_clock.ManualClock())
    return loads, chooser.Chooser(loads, random.Random(1))


def test_nearest_with_room():
    loads, made = chooser_with()
    all_targets = make(1) + make(1, 'b') + make(1, 'c')
    assert made.choose(all_targets, PLACE, 1).name == 'a0'
    loads.record_start('a0')
    assert made.choose(all_targets, PLACE, 1).name == 'b0'
    loads.record_start('b0')
    assert made.choose(all_targets, PLACE, 1).name == 'c0'


def test_leaving_targets_are_left_out():
    _, made = chooser_with()
    assert made.choose(make(2, state='leaving'), PLACE, 9) is None
    assert made.choose(make(2, state='reclaiming'), PLACE, 9) is None


def test_two_choices_keep_loads_close():
    loads, made = chooser_with()
    targets = make(10)
    for _ in range(1000):
        loads.record_start(made.choose(targets, PLACE, 10_000).name)
    counts = [loads.in_flight(x.name) for x in targets]
    assert max(counts) - min(counts) <= 8


def test_affinity_gives_way_to_load():
    loads, made = chooser_with()
    targets = make(5)
    first = made.choose(targets, PLACE, 99, affinity='p').name
    assert made.choose(targets, PLACE, 99, affinity='p').name == first
    for _ in range(20):
        loads.record_start(first)
    assert made.choose(targets, PLACE, 99, affinity='p').name != first


def test_failing_target_is_ejected_and_probed():
    clock = manual_clock.ManualClock()
    loads, made = chooser_with(clock)
    targets = make(3)
    for _ in range(3):
        loads.load_of('a0').circuit_breaker.record_failure()
    picked = {made.choose(targets, PLACE, 9).name for _ in range(50)}
    assert picked == {'a1', 'a2'}
    clock.advance(1.1)
    picked = {made.choose(targets, PLACE, 9).name for _ in range(50)}
    assert 'a0' in picked


def test_never_more_than_half_are_ejected():
    loads, made = chooser_with()
    targets = make(4)
    for name in ('a0', 'a1', 'a2'):
        for _ in range(3):
            loads.load_of(name).circuit_breaker.record_failure()
    picked = {made.choose(targets, PLACE, 9).name for _ in range(100)}
    assert picked == {'a0', 'a1', 'a2', 'a3'}


def test_peer_counts_expire():
    clock = manual_clock.ManualClock()
    loads, _ = chooser_with(clock)
    loads.record_peer_report('p', {'a0': 7})
    assert loads.in_flight('a0') == 7
    clock.advance(load_view.PEER_REPORT_LIFETIME_S + 1)
    assert loads.in_flight('a0') == 0
