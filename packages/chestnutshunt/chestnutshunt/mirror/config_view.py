"""Settings tree built from the last valid version of each node."""

import threading

from chestnutshunt.config import editor
from chestnutshunt.config import node
from chestnutshunt.config import tree
from chestnutshunt import errors
from chestnutshunt.mirror import mirror

__all__ = ['ConfigView']


class ConfigView:
    """Rebuilds the settings tree whenever a mirror changes.

    Attributes
    ----------
    tree : Tree
        Current settings tree.
    refused : dict of str to str
        Error messages by path, for nodes whose newest version is invalid,
        which keep their last valid version, and for invalid references.
    """

    def __init__(self, source: mirror.Mirror) -> None:
        self.source = source
        self.tree = tree.Tree()
        self.refused: dict[str, str] = {}
        self.lock = threading.Lock()
        source.listeners.append(self.refresh)

    def refresh(self, changes: mirror.Changes) -> None:
        """Rebuild the tree if the changes concern settings."""
        kinds = {changed.kind for changed in changes.objects}
        if editor.CONFIG_KIND not in kinds and not changes.whole:
            return
        with self.lock:
            self.rebuild()

    def rebuild(self) -> None:
        """Build the tree from the mirror, with last valid nodes as fallback.

        An invalid reference between nodes is recorded in `refused`, but does
        not keep the tree from taking effect.
        """
        refused: dict[str, str] = {}
        nodes: list[node.Node] = []
        for stored in self.source.objects_of_kind(editor.CONFIG_KIND):
            path = '' if stored.name == editor.ROOT_NAME else stored.name
            last_valid = self.tree.nodes.get(path)
            if last_valid is not None and last_valid.version == stored.version:
                nodes.append(last_valid)
                continue
            try:
                nodes.append(editor.decode_node(stored))
            except errors.BadSetting as exc:
                refused[path] = str(exc)
                if last_valid is not None:
                    nodes.append(last_valid)
        candidate = tree.Tree.from_nodes(nodes, self.source.revision)
        try:
            candidate.check()
        except errors.BadSetting as exc:
            refused[exc.location] = str(exc)
        self.refused = refused
        self.tree = candidate
