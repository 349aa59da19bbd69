"""A node of the tree of settings."""

from typing import Any

import attrs

from chestnutshunt.config import schema
from chestnutshunt import errors

__all__ = ['Node']


@attrs.frozen
class Node:
    """What one node itself sets.

    Attributes
    ----------
    path : str
        Place in the tree; empty for the root.
    version : int
        Platform revision of the node, 0 while it is not stored.
    values : dict
        Settings the node overrides.
    """

    path: str
    version: int
    values: dict[str, Any]

    @classmethod
    def from_values(
        cls, path: str, version: int, values: dict[str, Any]
    ) -> 'Node':
        """Build a node, raising `BadSetting` for what does not pass."""
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
