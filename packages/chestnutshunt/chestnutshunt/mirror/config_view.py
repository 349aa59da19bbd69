"""The tree in force: the last good version of every node of a mirror."""

import threading

from chestnutshunt.config import editor
from chestnutshunt.config import node
from chestnutshunt.config import tree
from chestnutshunt import errors
from chestnutshunt.mirror import mirror

__all__ = ['ConfigView']


class ConfigView:
    """Follows a mirror and keeps the tree that passed its checks.

    Attributes
    ----------
    tree : Tree
        The tree in force.
    refused : dict of str to str
        Nodes whose newest version did not pass, with the reason.
    """

    def __init__(self, source: mirror.Mirror) -> None:
        self.source = source
        self.tree = tree.Tree()
        self.refused: dict[str, str] = {}
        self.lock = threading.Lock()
        source.listeners.append(self.refresh)

    def refresh(self, changes: mirror.Changes) -> None:
        """Take over the changes that pass."""
        kinds = {held.kind for held in changes.objects}
        if editor.CONFIG_KIND not in kinds and not changes.whole:
            return
        with self.lock:
            self.rebuild()

    def rebuild(self) -> None:
        """Build the tree anew from the mirror and the last good nodes."""
        refused: dict[str, str] = {}
        nodes: list[node.Node] = []
        for held in self.source.objects_of_kind(editor.CONFIG_KIND):
            path = '' if held.name == editor.ROOT_NAME else held.name
            last_good = self.tree.nodes.get(path)
            if last_good is not None and last_good.version == held.version:
                nodes.append(last_good)
                continue
            try:
                nodes.append(editor.decode_node(held))
            except errors.BadSetting as exc:
                refused[path] = str(exc)
                if last_good is not None:
                    nodes.append(last_good)
        candidate = tree.Tree.from_nodes(nodes, self.source.revision)
        try:
            candidate.check()
        except errors.BadSetting as exc:
            refused[exc.where] = str(exc)
        self.refused = refused
        self.tree = candidate
