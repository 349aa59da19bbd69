from chestnutshunt import manual_clock
from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object


def held(name, version):
    return stored_object.StoredObject('k', name, version, {})


def make():
    source = manual_clock.ManualClock()
    return source, kind_mirror.KindMirror('k', source)


def test_age_counts_from_before_the_read():
    source, mirror = make()
    began = source.monotonic()
    source.advance(0.5)
    mirror.apply_listing(10, (held('a', 9),), began)
    assert mirror.age_s == 0.5


def test_an_older_list_changes_nothing():
    source, mirror = make()
    mirror.apply_listing(10, (held('a', 9),), source.monotonic())
    assert not mirror.apply_listing(8, (), source.monotonic())
    assert mirror.get('a')


def test_a_peer_that_knows_no_more_confirms():
    source, mirror = make()
    mirror.apply_listing(10, (held('a', 9),), source.monotonic())
    source.advance(2)
    digest = kind_mirror.KindDigest(through=15, changed=10, age_s=0.3)
    assert not mirror.apply_digest(digest, source.monotonic() - 0.1)
    assert round(mirror.age_s, 6) == 0.4


def test_a_peer_with_changes_does_not_confirm():
    source, mirror = make()
    mirror.apply_listing(10, (held('a', 9),), source.monotonic())
    source.advance(2)
    digest = kind_mirror.KindDigest(through=15, changed=12, age_s=0.0)
    assert mirror.apply_digest(digest, source.monotonic())
    assert mirror.age_s == 2


def test_a_peer_that_lags_confirms_nothing():
    source, mirror = make()
    mirror.apply_listing(10, (), source.monotonic())
    source.advance(2)
    digest = kind_mirror.KindDigest(through=9, changed=3, age_s=0.0)
    assert not mirror.apply_digest(digest, source.monotonic())
    assert mirror.age_s == 2


def test_listeners_hear_of_changes_only():
    source, mirror = make()
    heard = []
    mirror.listeners.append(lambda: heard.append(mirror.through))
    mirror.apply_listing(10, (held('a', 9),), source.monotonic())
    mirror.apply_listing(12, (held('a', 9),), source.monotonic())
    mirror.apply_listing(14, (), source.monotonic())
    assert heard == [10, 14]
