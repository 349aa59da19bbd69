"""The tree of settings, in which children inherit from their parents."""

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
    """An immutable tree of nodes.

    Attributes
    ----------
    nodes : dict of str to Node
        The stored nodes by path.
    revision : int
        Platform revision that the tree shows.
    """

    nodes: dict[str, node.Node] = attrs.field(factory=dict)
    revision: int = 0

    @classmethod
    def from_nodes(
        cls, nodes: Iterable[node.Node], revision: int = 0
    ) -> 'Tree':
        """Build a tree from its nodes."""
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
        """Return each setting of a node with the node it comes from."""
        allowed = schema.allowed_fields(path)
        return {name: self.lookup(path, name) for name in allowed}

    def lookup(self, path: str, name: str) -> origin.Origin:
        """Return one setting, inherited when the node does not set it."""
        default = schema.allowed_fields(path)[name].default
        place: str | None = path
        while place is not None:
            held = self.nodes.get(place)
            if held is not None and name in held.values:
                return origin.Origin(held.values[name], place)
            place = schema.parent_of(place)
        return origin.Origin(default, origin.DEFAULT)

    def settings(self, path: str) -> Any:
        """Return the settings object in force for a leaf.

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
        """Return the settings of a leaf, resolved once for each tree."""
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
        """Raise `BadSetting` for a reference to a node that is missing."""
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
        """Raise `BadSetting` unless the node referred to is there."""
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
    """Return the cache of resolved settings that goes with a tree."""
    return {}
