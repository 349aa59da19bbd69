"""Reads a JSON text that lists items, one item at a time."""

from collections.abc import Callable
from typing import Any
from typing import BinaryIO

import ijson

from chestnutshunt.jobs import item

__all__ = ['read_items']

# Events of the parser that begin a value, and that are one.
BEGINS = ('start_map', 'start_array', 'map_key')
SCALARS = ('null', 'boolean', 'number', 'string')


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
    held_bytes = 0
    builder = ijson.ObjectBuilder()
    item_prefix = f'{name}.item'
    try:
        for prefix, event, value in ijson.parse(body, use_float=True):
            if prefix.startswith(item_prefix):
                builder.event(event, value)
                if prefix == item_prefix and event not in BEGINS:
                    entry = decode_item(builder.value)
                    builder = ijson.ObjectBuilder()
                    held_bytes += entry.held_bytes
                    cover(held_bytes)
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
