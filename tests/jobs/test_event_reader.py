import pytest

from chestnutshunt.jobs import event_reader

STREAM = (
    b'id: 1\ndata: a\n\n'
    b'x-other: 3\nid: 2\ndata: b\ndata: c\n\n'
    b'id: 3\r\ndata: d\r\n\r\n'
    b'id: 4\ndata: cut'
)


@pytest.mark.parametrize('size', [1, 2, 3, 7, 100])
def test_events_come_whole_however_the_bytes_are_cut(size):
    reader = event_reader.EventReader()
    found = []
    for start in range(0, len(STREAM), size):
        found.extend(reader.feed(STREAM[start : start + size]))
    assert [(x.id, x.data) for x in found] == [
        (1, 'a'),
        (2, 'b\nc'),
        (3, 'd'),
    ]
    assert found[1].other_lines == ('x-other: 3',)
    assert reader.buffer


def test_bytes_that_are_no_events_are_refused():
    reader = event_reader.EventReader()
    with pytest.raises(ValueError):
        list(reader.feed(b'HTTP/1.1 200 OK\n\n'))
