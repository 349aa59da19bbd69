"""Decoder of JSON documents that hold objects of other writers.

One odd object must not make the others unreadable: the standard decoder fails
as a whole at deep nesting, very long numbers and bytes that are no UTF-8.
"""

import json
import re
from typing import Any

__all__ = ['MAX_DEPTH', 'loads']

# Deepest nesting that is kept. The encoder and decoder of the standard library
# fail at less than 1,000, depending on the stack of the thread.
MAX_DEPTH = 64

# Longest integer that is kept; those of 64 bits have 20 characters.
MAX_INTEGER_LENGTH = 40

TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


def loads(data: bytes) -> Any:
    """Decode a document; what is nested too deeply becomes ``None``.

    Raises
    ------
    ValueError
        The document is not JSON.
    """
    try:
        value = json.loads(data)
    except (RecursionError, ValueError):
        pass
    else:
        if not is_deep(value):
            return value
    text = prune(data.decode('utf-8', 'replace'))
    return json.loads(text, parse_int=parse_integer)


def is_deep(value: Any) -> bool:
    """Return whether a value is nested more deeply than `MAX_DEPTH`."""
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        level = [
            item
            for container in level
            if isinstance(container, dict | list)
            for item in (
                container.values()
                if isinstance(container, dict)
                else container
            )
        ]
        if not level:
            return False
    return True


def prune(text: str) -> str:
    """Replace arrays and objects below `MAX_DEPTH` by ``null``."""
    parts = []
    depth = 0
    kept_from = 0
    for match in TOKEN.finditer(text):
        token = match.group()
        if token in ('[', '{'):
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += [text[kept_from : match.start()], 'null']
        elif token in (']', '}'):
            depth -= 1
            if depth == MAX_DEPTH:
                kept_from = match.end()
    return ''.join([*parts, text[kept_from:]])


def parse_integer(text: str) -> int | None:
    """Return an integer, ``None`` if it is too long."""
    return int(text) if len(text) <= MAX_INTEGER_LENGTH else None
