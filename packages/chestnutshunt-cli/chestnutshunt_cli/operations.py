"""Operators' actions behind the command line.

Each takes a store and plain values, so that scripts can call them
without the command line.
"""

from typing import Any

from returns import result

from chestnutshunt.admission import credential
from chestnutshunt.config import editor
from chestnutshunt.config import node
from chestnutshunt.config import origin
from chestnutshunt.config import tree
from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt.membership import ended_vm
from chestnutshunt.membership import member
from chestnutshunt.routing import target
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object
from chestnutshunt_cli import changes

__all__ = [
    'apply_nodes',
    'create_key',
    'list_objects',
    'mark_gone',
    'list_members',
    'show',
    'withdraw_key',
]


def show(
    store: object_store.ObjectStore, path: str
) -> dict[str, origin.Origin]:
    """Return the settings of a node and where each comes from."""
    return editor.Editor(store).read().explain(path)


def apply_nodes(
    store: object_store.ObjectStore, desired: dict[str, dict[str, Any]]
) -> list[changes.Change]:
    """Replace the named nodes with those of a file.

    The whole resulting tree is validated before the first write. Each node
    is one conditional write on the version that was compared.

    Returns
    -------
    list of Change
        Settings that were changed.

    Raises
    ------
    BadSetting
        The resulting tree is not valid; nothing was written.
    ConfigConflict
        Another operator changed a node; the nodes before it were written.
    """
    tree_editor = editor.Editor(store)
    stored_tree = tree_editor.read()
    differences = changes.find_changes(stored_tree, desired)
    order = [
        path
        for path in sorted(desired, key=write_order_key)
        if any(item.path == path for item in differences)
    ]
    merged = dict(stored_tree.nodes)
    for path in order:
        merged[path] = make_node(stored_tree, path, desired[path])
    tree.Tree(merged).check()
    for path in order:
        stored = stored_tree.nodes.get(path) or node.Node(path, 0, {})
        tree_editor.write(tree.Tree(merged), stored, desired[path])
    return differences


def write_order_key(path: str) -> tuple[bool, str]:
    """Return a sort key that puts runs after the nodes they refer to."""
    return path.startswith('runs/'), path


def make_node(
    stored_tree: tree.Tree, path: str, table: dict[str, Any]
) -> node.Node:
    """Build a node on the stored version; raises `BadSetting`."""
    stored = stored_tree.nodes.get(path)
    version = stored.version if stored else object_store.ABSENT
    return node.Node.from_values(path, version, table)


def create_key(store: object_store.ObjectStore, workspace: str) -> str:
    """Create a key and return its token.

    Only a salted digest of the token is stored, so it cannot be shown again.
    """
    tree_editor = editor.Editor(store)
    if f'workspaces/{workspace}' not in tree_editor.read().nodes:
        raise errors.RouteUnknown(
            f'There is no workspace {workspace!r}.',
            f'Create it: chestnutshunt set workspaces/{workspace}',
        )
    new_key = credential.Credential.create(workspace)
    path = f'workspaces/{workspace}/keys/{new_key.key_id}'
    tree_editor.set(path, {'salt': new_key.salt, 'digest': new_key.digest})
    return new_key.token


def withdraw_key(
    store: object_store.ObjectStore, workspace: str, key_id: str
) -> None:
    """Withdraw a key; the daemons refuse it within seconds."""
    tree_editor = editor.Editor(store)
    path = f'workspaces/{workspace}/keys/{key_id}'
    stored_tree = tree_editor.read()
    if path not in stored_tree.nodes:
        raise errors.RouteUnknown(
            f'There is no key {path!r}.',
            f'See: chestnutshunt show workspaces/{workspace}/keys/ID',
        )
    tree_editor.set(path, {'withdrawn': True}, based_on=stored_tree)


def list_objects(
    store: object_store.ObjectStore, kind: str
) -> tuple[stored_object.StoredObject, ...]:
    """Return all stored objects of a kind; raises the store's error."""
    match store.list_kind(kind):
        case result.Success(listing):
            return listing.objects
        case result.Failure(error):
            raise error
    return ()


def mark_gone(store: object_store.ObjectStore, name: str) -> None:
    """Mark the VM of a daemon as gone; raises the store's error."""
    match ended_vm.mark_ended(store, name):
        case result.Failure(error):
            raise error


def list_members(store: object_store.ObjectStore) -> list[member.Member]:
    """Return the registered daemons; raises the store's error."""
    return [
        member.Member.decode(stored)
        for stored in list_objects(store, member.MEMBER_KIND)
    ]


STATUS_KINDS = {
    'leases': lease.LEASE_KIND,
    'targets': target.TARGET_KIND,
}
