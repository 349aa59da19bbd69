from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chestnutshunt.mirror import config_view
from chestnutshunt.mirror import mirror
from chestnutshunt.store import memory_store
from chestnutshunt.store import stored_object


def test_older_changes_are_ignored():
    held = mirror.Mirror()
    new = stored_object.StoredObject('config', 'a', 5, {'x': 2})
    old = stored_object.StoredObject('config', 'a', 3, {'x': 1})
    assert held.apply(mirror.Changes(5, (new,)))
    assert not held.apply(mirror.Changes(3, (old,), whole=True))
    assert held.get('config', 'a') == new


def test_bad_node_keeps_the_last_good_one():
    held = mirror.Mirror()
    view = config_view.ConfigView(held)
    good = stored_object.StoredObject(
        'config', 'services/a', 1, {'timeout_s': 2.0}
    )
    bad = stored_object.StoredObject(
        'config', 'services/a', 2, {'timeout_s': 'x'}
    )
    held.apply(mirror.Changes(1, (good,)))
    held.apply(mirror.Changes(2, (bad,)))
    assert view.tree.settings('services/a').timeout_s == 2.0
    assert 'services/a' in view.refused


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ['put', 'delete', 'list', 'watch', 'pull', 'lagging list']
            ),
            strategies.sampled_from('abc'),
            strategies.integers(0, 2),
            strategies.integers(0, 2),
        ),
        max_size=50,
    )
)
def test_mirrors_never_go_back_and_agree(actions):
    platform = memory_store.MemoryStore()
    mirrors = [mirror.Mirror() for _ in range(3)]
    lagging = platform.list_kind('k').unwrap()
    truth = {0: {}}
    for action, name, place, other in actions:
        target = mirrors[place]
        before = target.revision
        if action in ('put', 'delete'):
            version = platform.current_version('k', name)
            if action == 'put':
                platform.put('k', name, {'v': platform.revision}, version)
            elif version:
                platform.delete('k', name, version)
            truth[platform.revision] = dict(platform.objects)
        elif action == 'list':
            lagging = platform.list_kind('k').unwrap()
            target.apply_listing(lagging)
        elif action == 'lagging list':
            target.apply_listing(lagging)
        elif action == 'watch':
            changes = platform.watch_kind('k', target.revision, 0).unwrap()
            target.apply(mirror.Changes(changes.revision, changes.objects))
        else:
            target.apply(mirrors[other].changes_since(target.revision))
        assert target.revision >= before
        assert target.objects == truth[target.revision]
