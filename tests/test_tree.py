import pytest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chestnutshunt.config import node
from chestnutshunt.config import origin
from chestnutshunt.config import schema
from chestnutshunt.config import tree
from chestnutshunt import errors

PATHS = ['', 'services', 'services/a', 'services/b']


def make(tables):
    return tree.Tree.from_nodes(
        node.Node.from_values(path, 1, table) for path, table in tables.items()
    )


def test_child_overrides_only_what_it_names():
    held = make(
        {
            '': {'timeout_s': 9.0},
            'services': {'max_attempts': 2},
            'services/a': {'timeout_s': 4.0},
            'services/b': {},
        }
    )
    assert held.settings('services/a').timeout_s == 4.0
    assert held.settings('services/a').max_attempts == 2
    assert held.settings('services/b').timeout_s == 9.0
    shown = held.explain('services/b')
    assert shown['timeout_s'] == origin.Origin(9.0, '')
    assert shown['queue_length'].path == origin.DEFAULT


@pytest.mark.parametrize(
    ('path', 'table', 'part'),
    [
        ('services/a', {'timout_s': 1}, "Did you mean 'timeout_s'?"),
        ('services/a', {'timeout_s': True}, 'wrong type'),
        ('services/a', {'protocol': 'smtp'}, 'engine, plain'),
        ('services/a', {'max_attempts': 11}, 'from 1 to 10'),
        ('services/a', {'weight': 1.0}, 'unknown setting'),
        ('services/a/b', {}, 'no such place'),
        ('services/a b', {}, 'not a name'),
        ('services/..', {}, 'not a name'),
        ('', {'nothing': 1}, 'unknown setting'),
    ],
)
def test_bad_nodes_name_the_remedy(path, table, part):
    with pytest.raises(errors.BadSetting) as caught:
        node.Node.from_values(path, 0, table)
    assert part in str(caught.value)


def test_dangling_reference():
    held = make({'runs/r': {'service': 'none', 'workspace': 'w'}})
    with pytest.raises(errors.BadSetting, match='no such node'):
        held.check()


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    strategies.dictionaries(
        strategies.sampled_from(PATHS),
        strategies.dictionaries(
            strategies.sampled_from(['timeout_s', 'progress_timeout_s']),
            strategies.floats(1, 100),
        ),
    )
)
def test_nearest_node_that_sets_a_value_wins(tables):
    held = make(tables)
    for path in ('services/a', 'services/b'):
        if path not in held.nodes:
            continue
        chain = []
        place = path
        while place is not None:
            chain.append(place)
            place = schema.parent_of(place)
        for name in ('timeout_s', 'progress_timeout_s'):
            setters = [x for x in chain if name in tables.get(x, {})]
            found = held.lookup(path, name)
            if setters:
                assert found.path == setters[0]
                assert found.value == tables[setters[0]][name]
            else:
                assert found.path == origin.DEFAULT
