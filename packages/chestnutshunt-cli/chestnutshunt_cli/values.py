"""Parses settings that operators type or keep in files."""

import pathlib
import tomllib
from typing import Any

from chestnutshunt.config import schema
from chestnutshunt import errors

__all__ = ['parse_assignment', 'read_tree_file']

ROOT_TABLE = '.'


def parse_assignment(path: str, text: str) -> tuple[str, Any]:
    """Parse ``NAME=VALUE``, the value as in TOML; bare text is a string.

    Raises
    ------
    BadSetting
        The text is no assignment.
    """
    name, equals, value = text.partition('=')
    if not equals:
        raise errors.BadSetting(
            path, text, '', 'is no assignment', 'Write NAME=VALUE.'
        )
    try:
        return name.strip(), tomllib.loads(f'value = {value}')['value']
    except tomllib.TOMLDecodeError:
        return name.strip(), value.strip()


def read_tree_file(path: str) -> dict[str, dict[str, Any]]:
    """Read nodes from a TOML file.

    Each table is a node, ``["services/model"]`` for example, and ``["."]``
    is the root.

    Raises
    ------
    BadSetting
        The file is not TOML, or a table is no node.
    """
    try:
        tables = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as exc:
        raise errors.BadSetting(
            path, 'file', path, f'cannot be read ({exc})', 'Mend the file.'
        ) from exc
    found = {}
    for name, table in tables.items():
        node_path = '' if name == ROOT_TABLE else name
        if not isinstance(table, dict):
            raise errors.BadSetting(
                path,
                name,
                table,
                'stands outside a node',
                'Put it below a line such as ["services/NAME"].',
            )
        schema.check_path(node_path)
        found[node_path] = table
    return found
