"""Load plans for one model, and for several models trained together."""

from chestnutshunt.replicas import replica
from chestnutshunt.weights import load_plan
from chestnutshunt.weights import model_demand


def make_target(number, **versions):
    return replica.Replica(
        f't{number}', 's', '127.0.0.1:1', 'd', 12, versions=versions
    )


def test_at_most_the_loading_ratio_loads():
    targets = [make_target(n, m=1) for n in range(5)]
    loads = load_plan.next_loads(targets, {'m': 2}, frozenset())
    assert len(loads) == 2
    busy = frozenset(load.target.id for load in loads)
    assert load_plan.next_loads(targets, {'m': 2}, busy) == []


def test_a_target_that_has_the_version_gets_no_load():
    targets = [make_target(0, m=2), make_target(1, m=1)]
    loads = load_plan.next_loads(targets, {'m': 2}, frozenset())
    assert [load.target.id for load in loads] == ['t1']


def test_each_target_follows_one_of_several_models():
    targets = [make_target(n, a=1, b=1, c=1) for n in range(6)]
    assigned = load_plan.assign_models(targets, {'a': 2, 'b': 2, 'c': 2})
    assert sorted(assigned.values()) == ['a', 'a', 'b', 'b', 'c', 'c']


def test_targets_keep_their_model():
    newest = {'a': 2, 'b': 2}
    targets = [make_target(n, a=1, b=1) for n in range(4)]
    before = load_plan.assign_models(targets, newest)
    moved = [
        make_target(int(name[1:]), **{'a': 1, 'b': 1, before[name]: 2})
        for name in before
    ]
    assert load_plan.assign_models(moved, {'a': 3, 'b': 3}) == before


def test_half_of_the_targets_of_a_model_go_on_serving():
    targets = [make_target(n, a=1, b=1, c=1) for n in range(6)]
    loads = load_plan.next_loads(targets, {'a': 2}, frozenset())
    assert len(loads) <= 2
    newest = {'a': 2, 'b': 2, 'c': 2}
    assigned = load_plan.assign_models(targets, newest)
    loads = load_plan.next_loads(targets, newest, frozenset())
    for model in newest:
        pool = [name for name, other in assigned.items() if other == model]
        loading = [load for load in loads if load.model == model]
        assert len(loading) <= len(pool) // 2


def test_one_target_is_assigned_one_of_several_models():
    targets = [make_target(0, a=1, b=1, c=1)]
    assert len(load_plan.assign_models(targets, {'a': 2, 'b': 2, 'c': 2})) == 1


def demand(items, waiting=0, needed=0):
    return model_demand.ModelDemand(items, waiting, needed)


def test_targets_are_divided_by_demand():
    """One trainer was far ahead while two starved beside it.

    Its model had as many targets as theirs, for a fifth of the items.
    """
    demands = {'alt': demand(10), 'long': demand(50), 'short': demand(40)}
    counts = load_plan.target_counts(6, demands, {})
    assert counts == {'alt': 1, 'long': 3, 'short': 2}


def test_a_small_change_of_demand_moves_no_target():
    present = {'a': 3, 'b': 2}
    for items in (19, 20, 21):
        demands = {'a': demand(20), 'b': demand(items)}
        assert load_plan.target_counts(5, demands, present) == present


def test_every_model_keeps_a_target():
    demands = {'a': demand(0), 'b': demand(100), 'c': demand(0)}
    counts = load_plan.target_counts(5, demands, {})
    assert counts == {'a': 1, 'b': 3, 'c': 1}


def test_a_postponed_load_waits_only_while_one_version_behind():
    targets = [make_target(0, m=2), make_target(1, m=1)]
    loads = load_plan.next_loads(
        targets, {'m': 3}, frozenset(), {}, frozenset({'m'})
    )
    assert [load.target.id for load in loads] == ['t1']
