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
