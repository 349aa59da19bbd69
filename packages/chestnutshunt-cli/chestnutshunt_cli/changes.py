"""What a file of nodes would change in the tree."""

from typing import Any

import attrs

from chestnutshunt.config import node
from chestnutshunt.config import tree

__all__ = ['Change', 'find_changes']


@attrs.frozen
class Change:
    """A setting that differs.

    Attributes
    ----------
    path, name : str
        Node and setting.
    old, new : object
        Values; ``None`` where the node does not set it.
    """

    path: str
    name: str
    old: Any
    new: Any

    def render(self) -> str:
        """Return the change as a line for operators."""
        return f'{self.path or "/"}: {self.name}: {self.old!r} -> {self.new!r}'


def find_changes(
    held: tree.Tree, wanted: dict[str, dict[str, Any]]
) -> list[Change]:
    """Compare the nodes of a file with the tree; raises `BadSetting`.

    Nodes that the file does not name are left alone.
    """
    changes = []
    for path, table in sorted(wanted.items()):
        made = node.Node.from_values(path, 0, table)
        current = held.nodes.get(path)
        old = current.values if current else {}
        for name in sorted(old.keys() | made.values.keys()):
            if old.get(name) != made.values.get(name):
                changes.append(
                    Change(path, name, old.get(name), made.values.get(name))
                )
        if current is None and not made.values:
            changes.append(Change(path, '(node)', None, 'created'))
    return changes
