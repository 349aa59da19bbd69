"""A node of the tree of settings."""

from typing import Any

import attrs

from chestnutshunt.config import schema
from chestnutshunt import errors

__all__ = ['Node']


@attrs.frozen
class Node:
    """Settings that one node sets itself, without inherited ones.

    Attributes
    ----------
    path : str
        Path in the tree; empty for the root.
    version : int
        Store revision of the node; 0 if it is not stored yet.
    values : dict
        Settings that the node overrides, by name.
    """

    path: str
    version: int
    values: dict[str, Any]

    @classmethod
    def from_values(
        cls, path: str, version: int, values: dict[str, Any]
    ) -> 'Node':
        """Validate a path and its values; raises `BadSetting`."""
        schema.check_path(path)
        if not isinstance(values, dict):
            raise errors.BadSetting(
                path, 'node', values, 'not a table', 'Write NAME = VALUE.'
            )
        typed = {
            name: schema.check_value(path, name, value)
            for name, value in values.items()
        }
        return cls(path, version, typed)
