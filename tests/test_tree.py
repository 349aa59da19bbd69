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


def make_tree(tables):
    return tree.Tree.from_nodes(
        node.Node.from_values(path, 1, table) for path, table in tables.items()
    )


def test_child_overrides_only_what_it_names():
    settings_tree = make_tree(
        {
            '': {'timeout_s': 9.0},
            'services': {'max_attempts': 2},
            'services/a': {'timeout_s': 4.0},
            'services/b': {},
        }
    )
    assert settings_tree.settings('services/a').timeout_s == 4.0
    assert settings_tree.settings('services/a').max_attempts == 2
    assert settings_tree.settings('services/b').timeout_s == 9.0
    origins = settings_tree.explain('services/b')
    assert origins['timeout_s'] == origin.Origin(9.0, '')
    assert origins['queue_length'].path == origin.DEFAULT


@pytest.mark.parametrize(
    ('path', 'table', 'message'),
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
def test_bad_nodes_name_the_remedy(path, table, message):
    with pytest.raises(errors.BadSetting) as caught:
        node.Node.from_values(path, 0, table)
    assert message in str(caught.value)


def test_dangling_reference():
    settings_tree = make_tree(
        {'runs/r': {'service': 'none', 'workspace': 'w'}}
    )
    with pytest.raises(errors.BadSetting, match='no such node'):
        settings_tree.check()


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
    settings_tree = make_tree(tables)
    for path in ('services/a', 'services/b'):
        if path not in settings_tree.nodes:
            continue
        chain = []
        ancestor = path
        while ancestor is not None:
            chain.append(ancestor)
            ancestor = schema.parent_of(ancestor)
        for name in ('timeout_s', 'progress_timeout_s'):
            overriding = [x for x in chain if name in tables.get(x, {})]
            found = settings_tree.lookup(path, name)
            if overriding:
                assert found.path == overriding[0]
                assert found.value == tables[overriding[0]][name]
            else:
                assert found.path == origin.DEFAULT
