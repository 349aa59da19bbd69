"""Parses settings given on the command line or in TOML files."""

import pathlib
import tomllib
from typing import Any

from chestnutshunt.config import schema
from chestnutshunt import errors

__all__ = ['parse_assignment', 'read_tree_file']

ROOT_TABLE = '.'


def parse_assignment(path: str, text: str) -> tuple[str, Any]:
    """Parse ``NAME=VALUE``.

    The value is TOML; text that is not valid TOML is taken as a string.

    Raises
    ------
    BadSetting
        The text has no ``=``.
    """
    name, equals, value = text.partition('=')
    if not equals:
        raise errors.BadSetting(
            path, text, '', 'is not an assignment', 'Write NAME=VALUE.'
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
        The file cannot be read as TOML, a top-level key is not a table, or a
        table does not name a valid node path.
    """
    try:
        tables = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as exc:
        raise errors.BadSetting(
            path, 'file', path, f'cannot be read ({exc})', 'Correct the file.'
        ) from exc
    nodes = {}
    for name, table in tables.items():
        node_path = '' if name == ROOT_TABLE else name
        if not isinstance(table, dict):
            raise errors.BadSetting(
                path,
                name,
                table,
                'is outside a node',
                'Put it in a table such as ["services/NAME"].',
            )
        schema.check_path(node_path)
        nodes[node_path] = table
    return nodes
