import random

from chestnutshunt import manual_clock
from chestnutshunt.routing import chooser
from chestnutshunt.routing import load_view
from chestnutshunt.routing import target

PLACE = chooser.Place('a', {'a': 'r1', 'b': 'r1', 'c': 'r2'})


def make_targets(count, datacentre='a', **fields):
    return [
        target.Target(f'{datacentre}{n}', 's', 'x', datacentre, **fields)
        for n in range(count)
    ]


def make_chooser(clock=None):
    loads = load_view.LoadView(clock or manual_clock.ManualClock())
    return loads, chooser.Chooser(loads, random.Random(1))


def test_nearest_with_room():
    loads, selector = make_chooser()
    all_targets = make_targets(1) + make_targets(1, 'b') + make_targets(1, 'c')
    assert selector.choose(all_targets, PLACE, 1).name == 'a0'
    loads.record_start('a0')
    assert selector.choose(all_targets, PLACE, 1).name == 'b0'
    loads.record_start('b0')
    assert selector.choose(all_targets, PLACE, 1).name == 'c0'


def test_leaving_targets_are_left_out():
    _, selector = make_chooser()
    assert selector.choose(make_targets(2, state='leaving'), PLACE, 9) is None
    assert (
        selector.choose(make_targets(2, state='reclaiming'), PLACE, 9) is None
    )


def test_two_choices_keep_loads_close():
    loads, selector = make_chooser()
    targets = make_targets(10)
    for _ in range(1000):
        loads.record_start(selector.choose(targets, PLACE, 10_000).name)
    counts = [loads.in_flight(x.name) for x in targets]
    assert max(counts) - min(counts) <= 8


def test_affinity_gives_way_to_load():
    loads, selector = make_chooser()
    targets = make_targets(5)
    first = selector.choose(targets, PLACE, 99, affinity='p').name
    assert selector.choose(targets, PLACE, 99, affinity='p').name == first
    for _ in range(20):
        loads.record_start(first)
    assert selector.choose(targets, PLACE, 99, affinity='p').name != first


def test_failing_target_is_ejected_and_probed():
    clock = manual_clock.ManualClock()
    loads, selector = make_chooser(clock)
    targets = make_targets(3)
    for _ in range(3):
        loads.load_of('a0').circuit_breaker.record_failure()
    picked = {selector.choose(targets, PLACE, 9).name for _ in range(50)}
    assert picked == {'a1', 'a2'}
    clock.advance(1.1)
    picked = {selector.choose(targets, PLACE, 9).name for _ in range(50)}
    assert 'a0' in picked


def test_never_more_than_half_are_ejected():
    loads, selector = make_chooser()
    targets = make_targets(4)
    for name in ('a0', 'a1', 'a2'):
        for _ in range(3):
            loads.load_of(name).circuit_breaker.record_failure()
    picked = {selector.choose(targets, PLACE, 9).name for _ in range(100)}
    assert picked == {'a0', 'a1', 'a2', 'a3'}


def test_peer_counts_expire():
    clock = manual_clock.ManualClock()
    loads, _ = make_chooser(clock)
    loads.record_peer_report('p', {'a0': 7})
    assert loads.in_flight('a0') == 7
    clock.advance(load_view.PEER_REPORT_LIFETIME_S + 1)
    assert loads.in_flight('a0') == 0
