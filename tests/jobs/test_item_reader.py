"""Lists of items that are decoded while they are read."""

import io
import json

import pytest

from chestnutshunt.jobs import item
from chestnutshunt.jobs import item_reader
from chestnutshunt_daemon.callers import body_parts


def decode(value):
    return item.Item(value['id'], '/p', {}, value['body'].encode())


def read(text, cover=lambda size: None):
    return item_reader.read_items(io.BytesIO(text), 'items', decode, cover)


def test_fields_come_before_and_behind_the_items():
    items = [{'id': str(n), 'body': 'x', 'more': [{}, [1]]} for n in range(3)]
    value = {'step': 1, 'items': items, 'model': 'm', 'other': {'step': 2}}
    fields, found = read(json.dumps(value).encode())
    assert (fields['step'], fields['model']) == (1, 'm')
    assert [entry.id for entry in found] == ['0', '1', '2']


@pytest.mark.parametrize('text', [b'', b'{', b'{"items":[]} x', b'\xff'])
def test_what_is_not_json_is_an_error(text):
    with pytest.raises(ValueError):
        read(text)


@pytest.mark.parametrize('text', [b'{}', b'[]', b'null', b'{"items":1}'])
def test_items_that_are_missing_are_an_error(text):
    with pytest.raises(KeyError):
        read(text)


def test_memory_is_held_for_the_items_so_far():
    held = []
    body = json.dumps({'items': [{'id': '1', 'body': 'x' * 100}] * 3}).encode()
    read(body, held.append)
    assert held == [held[0], 2 * held[0], 3 * held[0]]
    assert held[0] >= 100


def test_memory_is_held_for_an_item_before_it_is_whole():
    held = []
    item_bytes = 4 * item_reader.READ_BYTES
    value = [{'id': '1', 'body': 'x' * item_bytes}, {'id': '2', 'body': 'x'}]
    read(json.dumps({'items': value}).encode(), held.append)
    assert max(held) > item_reader.PENDING_WEIGHT * item_bytes // 2
    assert held[-1] < 2 * item_bytes


def test_parts_of_a_body_are_freed_as_they_are_read():
    left = []
    parts = body_parts.BodyParts(left.append)
    text = json.dumps({'items': [{'id': '1', 'body': 'x'}]}).encode()
    for at in range(0, len(text), 7):
        parts.write(text[at : at + 7])
    _, found = item_reader.read_items(
        parts, 'items', decode, lambda size: None
    )
    assert len(found) == 1
    assert left == sorted(left, reverse=True)
    assert left[-1] == 0
    assert not parts.parts
