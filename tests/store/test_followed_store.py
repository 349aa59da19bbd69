"""Kinds that share one list and one watch."""

import pytest

from chestnutshunt.mirror import follower
from chestnutshunt.mirror import mirror
from chestnutshunt.store import followed_store
from chestnutshunt.store import memory_store


@pytest.fixture
def store():
    return followed_store.FollowedStore(memory_store.MemoryStore())


def names(objects):
    return {(item.kind, item.name) for item in objects}


def test_a_kind_lists_only_its_own_objects(store):
    store.put('config', 'services/a', {}, 0).unwrap()
    store.put('target', 'a', {}, 0).unwrap()
    store.put('lease', 'usage', {}, 0).unwrap()
    for kind, name in [
        ('config', 'services/a'),
        ('target', 'a'),
        ('lease', 'usage'),
    ]:
        listed = store.list_kind(kind).unwrap()
        assert names(listed.objects) == {(kind, name)}
        assert names([store.get(kind, name).unwrap()]) == {(kind, name)}
    followed = store.list_followed().unwrap()
    assert names(followed.objects) == {
        ('config', 'services/a'),
        ('target', 'a'),
    }


def test_one_watch_shows_changes_of_every_followed_kind(store):
    first = store.put('config', 'a', {'x': 1}, 0).unwrap()
    store.put('lease', 'usage', {}, 0).unwrap()
    status = store.put_status('config', 'a', {'s': 1}, first.version).unwrap()
    assert (status.kind, status.name) == ('config', 'a')
    member = store.put('member', 'd', {}, 0).unwrap()
    store.delete('member', 'd', member.version).unwrap()
    changes = store.watch_followed(first.version, 0.0).unwrap()
    assert names(changes.objects) == {('config', 'a'), ('member', 'd')}
    assert changes.objects[-1].deleted


def test_a_missing_object_is_none(store):
    assert store.get('config', 'none').unwrap() is None


def test_a_mirror_follows_all_kinds_and_lists_after_lost_history(
    store, monkeypatch
):
    monkeypatch.setattr(memory_store, 'HISTORY_LENGTH', 3)
    followed = mirror.Mirror()
    reader = follower.Follower(store, followed)
    assert reader.list_once()
    for number in range(9):
        store.put('target', f't{number}', {}, 0).unwrap()
    assert reader.watch_once(0.0)
    assert len(followed.objects_of_kind('target')) == 9
    last = store.put('weights', 'w', {}, 0).unwrap()
    assert reader.watch_once(0.0)
    assert followed.get('weights', 'w') == last
    store.store.down = True
    assert not reader.watch_once(0.0)
    assert not reader.connected
