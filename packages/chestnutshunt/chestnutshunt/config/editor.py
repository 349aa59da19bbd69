"""Edits the tree on the platform, one checked conditional write a node."""

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
    """Return the platform's name of a node."""
    return path or ROOT_NAME


def decode_node(held: stored_object.StoredObject) -> node.Node:
    """Build a checked node; raises `BadSetting`."""
    path = '' if held.name == ROOT_NAME else held.name
    return node.Node.checked(path, held.version, held.value)


class Editor:
    """An operator's view of the tree.

    Parameters
    ----------
    store : ObjectStore
        Where the tree is kept.
    """

    def __init__(self, store: object_store.ObjectStore) -> None:
        self.store = store

    def read(self) -> tree.Tree:
        """Read the whole tree; raises the platform's error."""
        listed = unwrap(self.store.list_kind(CONFIG_KIND))
        nodes = [decode_node(held) for held in listed.objects]
        return tree.Tree.of(nodes, listed.revision)

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
            Node to change.
        changes : dict
            New values.
        based_on : Tree, optional
            What the operator saw; by default the tree as it is now.

        Raises
        ------
        BadSetting
            A value, or the tree with it, does not pass its check.
        ConfigConflict
            The node has changed since `based_on`.
        """
        seen = based_on or self.read()
        held = seen.nodes.get(path) or node.Node(path, object_store.ABSENT, {})
        return self.write(seen, held, {**held.values, **changes})

    def unset(
        self, path: str, names: list[str], based_on: tree.Tree | None = None
    ) -> node.Node:
        """Let a node inherit some settings again."""
        seen = based_on or self.read()
        held = seen.nodes.get(path)
        if held is None:
            raise errors.RouteUnknown(f'The tree has no {path!r}.')
        kept = {
            name: value
            for name, value in held.values.items()
            if name not in names
        }
        return self.write(seen, held, kept)

    def remove(self, path: str, based_on: tree.Tree | None = None) -> None:
        """Remove a node that nothing refers to."""
        seen = based_on or self.read()
        held = seen.nodes.get(path)
        if held is None:
            raise errors.RouteUnknown(f'The tree has no {path!r}.')
        rest = [item for item in seen.nodes.values() if item.path != path]
        tree.Tree.of(rest).check()
        name = object_name(path)
        unwrap(self.store.delete(CONFIG_KIND, name, held.version), path)

    def write(
        self, seen: tree.Tree, held: node.Node, values: dict[str, Any]
    ) -> node.Node:
        """Check and write a node on top of the version that was seen."""
        made = node.Node.checked(held.path, held.version, values)
        tree.Tree.of([*seen.nodes.values(), made]).check()
        stored = unwrap(
            put_with_readback.put_with_readback(
                self.store,
                CONFIG_KIND,
                object_name(held.path),
                made.values,
                held.version,
            ),
            held.path,
        )
        return node.Node(held.path, stored.version, made.values)


def unwrap(outcome: result.Result, path: str = '') -> Any:
    """Return a success or raise its error, a conflict as `ConfigConflict`."""
    match outcome:
        case result.Success(value):
            return value
        case result.Failure(errors.Conflict()):
            message = f'{path or "/"} was changed by someone else.'
            raise errors.ConfigConflict(message)
        case result.Failure(error):
            raise error
