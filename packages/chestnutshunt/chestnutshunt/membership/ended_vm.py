"""VMs that an operator has marked as gone for good."""

from returns import result

from chestnutshunt.store import object_store
from chestnutshunt.store import put_if_changed
from chestnutshunt.store import stored_object

__all__ = ['VM_KIND', 'list_ended', 'mark_ended']

VM_KIND = 'vm'
"""Objects named like the daemon that ran on the VM."""

ENDED = {'state': 'gone'}


def mark_ended(
    store: object_store.ObjectStore, name: str
) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
    """Mark the VM of a daemon as gone for good.

    Parameters
    ----------
    store : ObjectStore
        Where the mark is kept.
    name : str
        Name of the daemon.
    """
    return put_if_changed.put_if_changed(store, VM_KIND, name, ENDED)


def list_ended(
    store: object_store.ObjectStore,
) -> result.Result[frozenset[str], object_store.StoreError]:
    """Return the names of the daemons whose VMs are gone."""
    return store.list_kind(VM_KIND).map(
        lambda listed: frozenset(held.name for held in listed.objects)
    )
