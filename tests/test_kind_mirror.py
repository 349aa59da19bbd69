from chestnutshunt import manual_clock
from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object


def stored(name, version):
    return stored_object.StoredObject('k', name, version, {})


def make_mirror():
    clock = manual_clock.ManualClock()
    return clock, kind_mirror.KindMirror('k', clock)


def test_age_counts_from_the_start_of_the_read():
    clock, mirror = make_mirror()
    began = clock.monotonic()
    clock.advance(0.5)
    mirror.apply_listing(10, (stored('a', 9),), began)
    assert mirror.age_s == 0.5


def test_an_older_list_is_ignored():
    clock, mirror = make_mirror()
    mirror.apply_listing(10, (stored('a', 9),), clock.monotonic())
    assert not mirror.apply_listing(8, (), clock.monotonic())
    assert mirror.get('a')


def test_a_peer_without_newer_changes_confirms():
    clock, mirror = make_mirror()
    mirror.apply_listing(10, (stored('a', 9),), clock.monotonic())
    clock.advance(2)
    digest = kind_mirror.KindDigest(through=15, changed=10, age_s=0.3)
    assert not mirror.apply_digest(digest, clock.monotonic() - 0.1)
    assert round(mirror.age_s, 6) == 0.4


def test_a_peer_with_newer_changes_does_not_confirm():
    clock, mirror = make_mirror()
    mirror.apply_listing(10, (stored('a', 9),), clock.monotonic())
    clock.advance(2)
    digest = kind_mirror.KindDigest(through=15, changed=12, age_s=0.0)
    assert mirror.apply_digest(digest, clock.monotonic())
    assert mirror.age_s == 2


def test_a_peer_that_lags_does_not_confirm():
    clock, mirror = make_mirror()
    mirror.apply_listing(10, (), clock.monotonic())
    clock.advance(2)
    digest = kind_mirror.KindDigest(through=9, changed=3, age_s=0.0)
    assert not mirror.apply_digest(digest, clock.monotonic())
    assert mirror.age_s == 2


def test_listeners_are_called_for_changes_only():
    clock, mirror = make_mirror()
    revisions = []
    mirror.listeners.append(lambda: revisions.append(mirror.through))
    mirror.apply_listing(10, (stored('a', 9),), clock.monotonic())
    mirror.apply_listing(12, (stored('a', 9),), clock.monotonic())
    mirror.apply_listing(14, (), clock.monotonic())
    assert revisions == [10, 14]


def test_changes_since_a_revision_bring_a_peer_up_to_date():
    """Hundreds of peers pulled whole lists at each change of one object."""
    clock, source = make_mirror()
    _, peer = make_mirror()
    first = (stored('a', 3), stored('b', 4))
    for mirror in (source, peer):
        mirror.apply_listing(5, first, clock.monotonic())
    source.apply_listing(
        9, (stored('a', 3), stored('c', 8)), clock.monotonic()
    )
    changes = source.changes_since(peer.through)
    assert [item.name for item in changes.objects] == ['c']
    assert changes.removed == ('b',)
    assert peer.apply_changes(9, changes, clock.monotonic(), 9)
    assert sorted(item.name for item in peer.values()) == ['a', 'c']
    assert peer.through == 9


def test_an_object_that_was_made_again_is_not_removed():
    clock, source = make_mirror()
    source.apply_listing(5, (stored('a', 3),), clock.monotonic())
    source.apply_listing(6, (), clock.monotonic())
    source.apply_listing(8, (stored('a', 7),), clock.monotonic())
    changes = source.changes_since(5)
    assert [item.name for item in changes.objects] == ['a']
    assert changes.removed == ()


def test_changes_from_before_the_first_list_are_unknown():
    clock, source = make_mirror()
    assert source.changes_since(0) is None
    source.apply_listing(5, (stored('a', 3),), clock.monotonic())
    assert source.changes_since(0) is None
    assert source.changes_since(4) is None
    assert source.changes_since(5) is not None


def test_older_changes_are_ignored():
    clock, mirror = make_mirror()
    mirror.apply_listing(9, (stored('a', 3),), clock.monotonic())
    changes = kind_mirror.KindChanges((), ('a',))
    assert not mirror.apply_changes(8, changes, clock.monotonic(), 8)
    assert mirror.get('a')
