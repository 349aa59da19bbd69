"""Edits the settings tree in the platform's store.

Each node is validated and then written with its own conditional write.
"""

from typing import Any

from returns import result

from chestnutshunt.config import node
from chestnutshunt.config import tree
from chestnutshunt import errors
from chestnutshunt.store import object_store
from chestnutshunt.store import put_with_readback
from chestnutshunt.store import stored_object

__all__ = ['CONFIG_KIND', 'Editor', 'decode_node', 'object_name']

CONFIG_KIND = 'config'
ROOT_NAME = '.'


def object_name(path: str) -> str:
    """Return the name under which a node is stored."""
    return path or ROOT_NAME


def decode_node(stored: stored_object.StoredObject) -> node.Node:
    """Build a node from its stored form; raises `BadSetting` if invalid."""
    path = '' if stored.name == ROOT_NAME else stored.name
    return node.Node.from_values(path, stored.version, stored.value)


class Editor:
    """Reads and changes the settings tree on behalf of an operator.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the tree.
    """

    def __init__(self, store: object_store.ObjectStore) -> None:
        self.store = store

    def read(self) -> tree.Tree:
        """Read the whole tree; raises the store's error if that fails."""
        listing = unwrap(self.store.list_kind(CONFIG_KIND))
        nodes = [decode_node(stored) for stored in listing.objects]
        return tree.Tree.from_nodes(nodes, listing.revision)

    def set(
        self,
        path: str,
        changes: dict[str, Any],
        based_on: tree.Tree | None = None,
    ) -> node.Node:
        """Set some settings of a node, creating it if needed.

        Parameters
        ----------
        path : str
            Path of the node to change.
        changes : dict
            New values by setting name; other settings keep theirs.
        based_on : Tree, optional
            Tree that the change is based on; read from the store by default.

        Raises
        ------
        BadSetting
            A value, or the tree that would result, is invalid.
        ConfigConflict
            The node has changed since `based_on` was read.
        """
        base = based_on or self.read()
        current = base.nodes.get(path) or node.Node(
            path, object_store.ABSENT, {}
        )
        return self.write(base, current, {**current.values, **changes})

    def unset(
        self, path: str, names: list[str], based_on: tree.Tree | None = None
    ) -> node.Node:
        """Remove settings from a node, so that it inherits them again."""
        base = based_on or self.read()
        current = base.nodes.get(path)
        if current is None:
            raise errors.RouteUnknown(f'The tree has no {path!r}.')
        remaining = {
            name: value
            for name, value in current.values.items()
            if name not in names
        }
        return self.write(base, current, remaining)

    def remove(self, path: str, based_on: tree.Tree | None = None) -> None:
        """Delete a node; raises `BadSetting` if another node refers to it."""
        base = based_on or self.read()
        current = base.nodes.get(path)
        if current is None:
            raise errors.RouteUnknown(f'The tree has no {path!r}.')
        others = [item for item in base.nodes.values() if item.path != path]
        tree.Tree.from_nodes(others).check()
        name = object_name(path)
        unwrap(self.store.delete(CONFIG_KIND, name, current.version), path)

    def write(
        self, base: tree.Tree, current: node.Node, values: dict[str, Any]
    ) -> node.Node:
        """Validate a node and write it if its version is still current."""
        updated = node.Node.from_values(current.path, current.version, values)
        tree.Tree.from_nodes([*base.nodes.values(), updated]).check()
        stored = unwrap(
            put_with_readback.put_with_readback(
                self.store,
                CONFIG_KIND,
                object_name(current.path),
                updated.values,
                current.version,
            ),
            current.path,
        )
        return node.Node(current.path, stored.version, updated.values)


def unwrap(outcome: result.Result, path: str = '') -> Any:
    """Return the value of a success, or raise the error of a failure.

    A `Conflict` is raised as `ConfigConflict`, which names the node.
    """
    match outcome:
        case result.Success(value):
            return value
        case result.Failure(errors.Conflict()):
            message = f'{path or "/"} has changed since it was read.'
            raise errors.ConfigConflict(message)
        case result.Failure(error):
            raise error
