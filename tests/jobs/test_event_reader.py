import pytest

from chestnutshunt.jobs import event_reader

STREAM = (
    b'id: 1\ndata: a\n\n'
    b'x-other: 3\nid: 2\ndata: b\ndata: c\n\n'
    b'id: 3\r\ndata: d\r\n\r\n'
    b'id: 4\ndata: cut'
)


@pytest.mark.parametrize('size', [1, 2, 3, 7, 100])
def test_events_are_complete_for_any_chunk_size(size):
    reader = event_reader.EventReader()
    events = []
    for start in range(0, len(STREAM), size):
        events.extend(reader.feed(STREAM[start : start + size]))
    assert [(x.id, x.data) for x in events] == [
        (1, 'a'),
        (2, 'b\nc'),
        (3, 'd'),
    ]
    assert events[1].other_lines == ('x-other: 3',)
    assert reader.buffer


def test_bytes_that_are_no_events_raise():
    reader = event_reader.EventReader()
    with pytest.raises(ValueError):
        list(reader.feed(b'HTTP/1.1 200 OK\n\n'))
