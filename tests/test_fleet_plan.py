from chestnutshunt.config import datacentre_settings
from chestnutshunt.fleet import plan
from chestnutshunt.routing import target

SETTINGS = datacentre_settings.DatacentreSettings(min_targets=1, max_targets=6)


def make_targets(states, cheap=()):
    return [
        target.Target(f't{n}', 's', 'x', 'd', state, cheap=n in cheap)
        for n, state in enumerate(states)
    ]


def orders(targets, demand):
    decided = plan.make_plan(targets, demand, 10, SETTINGS)
    return [(item.action, item.target) for item in decided.orders]


def test_demand_starts_reclaimable_targets_up_to_their_share():
    targets = make_targets(['running'] + ['stopped'] * 5, cheap=(3, 4, 5))
    assert orders(targets, 27) == [
        ('start', 't3'),
        ('start', 't4'),
        ('start', 't1'),
    ]


def test_never_above_the_maximum():
    targets = make_targets(['running'] * 6 + ['stopped'])
    assert orders(targets, 1000) == []


def test_low_demand_drains_an_on_demand_target():
    targets = make_targets(['running'] * 4, cheap=(3,))
    assert orders(targets, 2) == [('leave', 't2')]


def test_the_last_targets_are_not_all_reclaimable():
    targets = make_targets(['running'] * 3, cheap=(1, 2))
    assert orders(targets, 0) == [('leave', 't2')]


def test_the_minimum_number_stays():
    assert orders(make_targets(['running']), 0) == []


def test_no_flapping_between_start_and_leave():
    for demand in range(0, 40):
        targets = make_targets(['running'] * 3 + ['stopped'] * 3)
        first = plan.make_plan(targets, demand, 10, SETTINGS)
        if not first.orders or first.orders[0].action != 'leave':
            continue
        fewer = make_targets(['running'] * 2 + ['stopped'] * 4)
        second = plan.make_plan(fewer, demand, 10, SETTINGS)
        assert not any(x.action == 'start' for x in second.orders)
