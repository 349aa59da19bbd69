"""Compares a file of nodes with the stored settings tree."""

from typing import Any

import attrs

from chestnutshunt.config import node
from chestnutshunt.config import tree

__all__ = ['Change', 'find_changes']


@attrs.frozen
class Change:
    """A setting whose value in a file differs from the stored one.

    Attributes
    ----------
    path, name : str
        Path of the node and name of the setting.
    old, new : object
        Stored value and value in the file; ``None`` where the node does
        not set it.
    """

    path: str
    name: str
    old: Any
    new: Any

    def render(self) -> str:
        """Return the change as one line of text."""
        return f'{self.path or "/"}: {self.name}: {self.old!r} -> {self.new!r}'


def find_changes(
    stored_tree: tree.Tree, desired: dict[str, dict[str, Any]]
) -> list[Change]:
    """Return the differences between the nodes of a file and the tree.

    Nodes that the file does not name are not compared.

    Raises
    ------
    BadSetting
        A node of the file is not valid.
    """
    changes = []
    for path, table in sorted(desired.items()):
        desired_node = node.Node.from_values(path, 0, table)
        stored_node = stored_tree.nodes.get(path)
        old = stored_node.values if stored_node else {}
        for name in sorted(old.keys() | desired_node.values.keys()):
            if old.get(name) != desired_node.values.get(name):
                changes.append(
                    Change(
                        path,
                        name,
                        old.get(name),
                        desired_node.values.get(name),
                    )
                )
        if stored_node is None and not desired_node.values:
            changes.append(Change(path, '(node)', None, 'created'))
    return changes
