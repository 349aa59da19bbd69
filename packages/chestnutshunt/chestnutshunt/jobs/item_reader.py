"""Reads a JSON text that lists items, one item at a time."""

from collections.abc import Callable
from typing import Any
from typing import BinaryIO

import ijson

from chestnutshunt.jobs import item

__all__ = ['read_items']

# The parser looks through a text from its beginning with each read.
READ_BYTES = 1_048_576

# Events of the parser that begin a value, and that are one.
BEGINS = ('start_map', 'start_array', 'map_key')
SCALARS = ('null', 'boolean', 'number', 'string')

# Memory of a byte of an item while it is decoded: what the parser keeps, the
# text, and its decoded form.
PENDING_WEIGHT = 5


class PendingText:
    """File that holds memory for the text of an item that is being read.

    Parameters
    ----------
    body : file object
        File that is read.
    cover : callable
        Called with the memory in bytes of the items and of that text.
    """

    def __init__(self, body: BinaryIO, cover: Callable[[int], None]) -> None:
        self.body = body
        self.cover = cover
        self.item_bytes = 0
        self.pending_bytes = 0

    def read(self, size: int = -1) -> bytes:
        """Return the next bytes, at most so many; b'' at the end."""
        data = self.body.read(size)
        self.pending_bytes += len(data)
        # What is read at one time may hold many items.
        beyond_bytes = max(self.pending_bytes - READ_BYTES, 0)
        if beyond_bytes:
            self.cover(self.item_bytes + PENDING_WEIGHT * beyond_bytes)
        return data

    def end_item(self, entry: item.Item) -> None:
        """Hold memory for an item in place of its text."""
        self.item_bytes += entry.held_bytes
        self.pending_bytes = 0
        self.cover(self.item_bytes)


def read_items(
    body: BinaryIO,
    name: str,
    decode_item: Callable[[Any], item.Item],
    cover: Callable[[int], None],
) -> tuple[dict[str, Any], tuple[item.Item, ...]]:
    """Return the fields of an object, and the items that it lists.

    Parameters
    ----------
    body : file object
        JSON text in UTF-8.
    name : str
        Name of the list.
    decode_item : callable
        Builds an item from its JSON value.
    cover : callable
        Called with the memory in bytes of the items so far.

    Raises
    ------
    KeyError
        There is no such list.
    ValueError
        The text is not JSON. `decode_item` may raise other errors.
    """
    fields: dict[str, Any] = {}
    items: list[item.Item] | None = None
    text = PendingText(body, cover)
    builder = ijson.ObjectBuilder()
    item_prefix = f'{name}.item'
    try:
        for prefix, event, value in ijson.parse(
            text, buf_size=READ_BYTES, use_float=True
        ):
            if prefix.startswith(item_prefix):
                builder.event(event, value)
                if prefix == item_prefix and event not in BEGINS:
                    entry = decode_item(builder.value)
                    builder = ijson.ObjectBuilder()
                    text.end_item(entry)
                    items.append(entry)
            elif prefix == name and event == 'start_array':
                items = []
            elif event in SCALARS:
                fields[prefix] = value
    except ijson.JSONError as exc:
        raise ValueError(f'not JSON: {exc}') from exc
    if items is None:
        raise KeyError(name)
    return fields, tuple(items)
