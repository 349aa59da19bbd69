"""User-level functions that the command line calls.

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
    store: object_store.ObjectStore, wanted: dict[str, dict[str, Any]]
) -> list[changes.Change]:
    """Make the named nodes equal to those of a file.

    The whole tree that would result is checked before the first write; each
    node is one conditional write on top of what was compared.

    Returns
    -------
    list of Change
        What was changed.

    Raises
    ------
    BadSetting, ConfigConflict
        Nothing, or only the nodes before the conflict, were written.
    """
    tool = editor.Editor(store)
    seen = tool.read()
    found = changes.find_changes(seen, wanted)
    order = [
        path
        for path in sorted(wanted, key=write_order)
        if any(item.path == path for item in found)
    ]
    merged = dict(seen.nodes)
    for path in order:
        merged[path] = checked_node(seen, path, wanted[path])
    tree.Tree(merged).check()
    for path in order:
        held = seen.nodes.get(path) or node.Node(path, 0, {})
        tool.write(tree.Tree(merged), held, wanted[path])
    return found


def write_order(path: str) -> tuple[bool, str]:
    """Return a key that sorts runs behind the nodes they refer to."""
    return path.startswith('runs/'), path


def checked_node(
    seen: tree.Tree, path: str, table: dict[str, Any]
) -> node.Node:
    """Return a node of a file on top of the version that was seen."""
    held = seen.nodes.get(path)
    version = held.version if held else object_store.ABSENT
    return node.Node.checked(path, version, table)


def create_key(store: object_store.ObjectStore, workspace: str) -> str:
    """Create a key and return its token, which is stored nowhere."""
    tool = editor.Editor(store)
    if f'workspaces/{workspace}' not in tool.read().nodes:
        raise errors.RouteUnknown(
            f'There is no workspace {workspace!r}.',
            f'Create it: chestnutshunt set workspaces/{workspace}',
        )
    made = credential.Credential.create(workspace)
    path = f'workspaces/{workspace}/keys/{made.key_id}'
    tool.set(path, {'salt': made.salt, 'digest': made.digest})
    return made.token


def withdraw_key(
    store: object_store.ObjectStore, workspace: str, key_id: str
) -> None:
    """Withdraw a key; it stops working within seconds."""
    tool = editor.Editor(store)
    path = f'workspaces/{workspace}/keys/{key_id}'
    seen = tool.read()
    if path not in seen.nodes:
        raise errors.RouteUnknown(
            f'There is no key {path!r}.',
            f'See: chestnutshunt show workspaces/{workspace}/keys/ID',
        )
    tool.set(path, {'withdrawn': True}, based_on=seen)


def list_objects(
    store: object_store.ObjectStore, kind: str
) -> tuple[stored_object.StoredObject, ...]:
    """Return the platform's objects of a kind."""
    match store.list_kind(kind):
        case result.Success(found):
            return found.objects
        case result.Failure(error):
            raise error
    return ()


def mark_gone(store: object_store.ObjectStore, name: str) -> None:
    """Mark the VM of a daemon as gone; raises the store's error."""
    match ended_vm.mark_ended(store, name):
        case result.Failure(error):
            raise error


def list_members(store: object_store.ObjectStore) -> list[member.Member]:
    """Return the daemons that the platform lists."""
    return [
        member.Member.decode(held)
        for held in list_objects(store, member.MEMBER_KIND)
    ]


STATUS_KINDS = {
    'leases': lease.LEASE_KIND,
    'targets': target.TARGET_KIND,
}
