"""Tree of settings in which nodes inherit values from their parents."""

from collections.abc import Iterable
import functools
from typing import Any

import attrs

from chestnutshunt.config import field
from chestnutshunt.config import node
from chestnutshunt.config import origin
from chestnutshunt.config import schema
from chestnutshunt import errors

__all__ = ['Tree']


@attrs.frozen(eq=False)
class Tree:
    """Immutable tree of settings nodes.

    Attributes
    ----------
    nodes : dict of str to Node
        Stored nodes by path.
    revision : int
        Store revision at which the tree was read.
    """

    nodes: dict[str, node.Node] = attrs.field(factory=dict)
    revision: int = 0

    @classmethod
    def from_nodes(
        cls, nodes: Iterable[node.Node], revision: int = 0
    ) -> 'Tree':
        """Build a tree; a later node replaces an earlier one of its path."""
        return cls({item.path: item for item in nodes}, revision)

    def leaf_names(self, collection: str) -> list[str]:
        """Return the names of the leaves below a collection, sorted."""
        prefix = collection + '/'
        return sorted(
            path[len(prefix) :]
            for path in self.nodes
            if path.startswith(prefix) and '/' not in path[len(prefix) :]
        )

    def explain(self, path: str) -> dict[str, origin.Origin]:
        """Return the effective value and source of each setting of a node."""
        allowed = schema.allowed_fields(path)
        return {name: self.lookup(path, name) for name in allowed}

    def lookup(self, path: str, name: str) -> origin.Origin:
        """Return the effective value of a setting, which may be inherited."""
        default = schema.allowed_fields(path)[name].default
        current_path: str | None = path
        while current_path is not None:
            current = self.nodes.get(current_path)
            if current is not None and name in current.values:
                return origin.Origin(current.values[name], current_path)
            current_path = schema.parent_of(current_path)
        return origin.Origin(default, origin.DEFAULT)

    def settings(self, path: str) -> Any:
        """Return the effective settings of a stored leaf.

        Raises
        ------
        RouteUnknown
            The tree has no such leaf.
        """
        cls = schema.settings_class(path)
        if cls is None or path not in self.nodes:
            raise errors.RouteUnknown(f'The tree has no {path!r}.')
        return self.resolve(path, cls)

    def resolve(self, path: str, cls: type) -> Any:
        """Return the effective settings of a leaf, cached for each tree.

        The leaf need not be stored; it then has only inherited values.
        """
        cache = _resolved_cache(self)
        if path not in cache:
            cache[path] = cls(
                **{
                    name: self.lookup(path, name).value
                    for name in field.declared_settings(cls)
                }
            )
        return cache[path]

    def check(self) -> None:
        """Raise `BadSetting` if a run refers to a node that does not exist."""
        for name in self.leaf_names('runs'):
            path = f'runs/{name}'
            run = self.settings(path)
            self.check_reference(path, 'service', 'services', run.service)
            self.check_reference(
                path, 'workspace', 'workspaces', run.workspace
            )
            if run.scorer:
                self.check_reference(path, 'scorer', 'services', run.scorer)

    def check_reference(
        self, path: str, name: str, collection: str, value: str
    ) -> None:
        """Raise `BadSetting` unless the referenced node exists."""
        if f'{collection}/{value}' not in self.nodes:
            known = ', '.join(self.leaf_names(collection)) or 'none yet'
            raise errors.BadSetting(
                path,
                name,
                value,
                f'{collection} has no such node',
                f'Create it first or name one of: {known}.',
            )


@functools.lru_cache(maxsize=8)
def _resolved_cache(tree: Tree) -> dict[str, Any]:
    """Return the settings cache of a tree.

    Trees compare by identity, so each has a cache of its own.
    """
    return {}
