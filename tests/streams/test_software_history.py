"""Software versions that targets have run, as one daemon has seen them."""

from chestnutshunt import manual_clock
from chestnutshunt.streams import origin_table
from chestnutshunt.streams import software_history
from chestnutshunt.streams import software_record
from chestnutshunt.streams import stream_origin

OLD = stream_origin.StreamOrigin('s', 'v1')
NEW = stream_origin.StreamOrigin('s', 'v2')
TTL_S = origin_table.ORIGIN_TTL_S


def make_history():
    return software_history.SoftwareHistory(manual_clock.ManualClock())


def test_version_that_left_counts_until_no_stream_of_it_is_left():
    history = make_history()
    history.observe([OLD])
    history.observe([NEW])
    assert history.recent(['s']) == {OLD, NEW}
    history.clock.advance(TTL_S + 1)
    history.observe([NEW])
    assert history.recent(['s']) == {NEW}


def test_version_on_record_counts_although_this_daemon_never_saw_it():
    history = make_history()
    history.observe([NEW])
    history.recall(OLD, history.clock.monotonic() - 1)
    assert history.recent(['s']) == {OLD, NEW}
    assert history.recent(['other']) == set()


def test_new_version_settles():
    history = make_history()
    assert not history.is_settled(NEW)
    history.observe([NEW])
    assert not history.is_settled(NEW)
    history.clock.advance(software_history.SETTLE_S)
    assert history.is_settled(NEW)


def test_daemon_that_has_just_started_does_not_know_all_streams():
    history = make_history()
    assert not history.covers_all_streams()
    history.clock.advance(TTL_S)
    assert history.covers_all_streams()


def test_record_keeps_versions_that_left():
    first = software_record.SoftwareRecord(0.0).updated(['v1'], ['v1'], 100.0)
    second = first.updated(['v2'], ['v2'], 110.0)
    assert second.present == ('v2',)
    assert second.left == {'v1': 110.0}
    assert second.updated(['v2'], [], 110.0 + TTL_S).left == {}
    assert software_record.SoftwareRecord.decode(second.encode()) == second


# Guards against ORDER: a record that was begun after all daemons had been
# killed named one version, and streams of another one went on there.
def test_new_record_covers_only_streams_that_began_after_it():
    record = software_record.SoftwareRecord(100.0)
    assert not record.covers_all_streams(100.0 + TTL_S - 1)
    assert record.covers_all_streams(100.0 + TTL_S)


def test_table_forgets_old_streams():
    table = origin_table.OriginTable(manual_clock.ManualClock())
    table.record('q1', OLD)
    table.clock.advance(TTL_S / 2)
    table.record('q2', NEW)
    assert (table.find('q1'), table.find('q2')) == (OLD, NEW)
    table.clock.advance(TTL_S / 2 + 1)
    table.record('q3', NEW)
    assert (table.find('q1'), table.find('q2')) == (None, NEW)
    assert len(table) == 2
