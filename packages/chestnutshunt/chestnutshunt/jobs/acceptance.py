"""Acceptance of a job by one conditional create."""

import json

from returns import result

from chestnutshunt import errors
from chestnutshunt.jobs import item
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_codec
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object

__all__ = ['accept', 'read_job']

PART_BYTES = 800_000
"""Items in one object; below the store's bound of 1 MiB."""

TRIES = 2
"""Calls to create an object of which no reply says whether it is there; each
takes half a second, and a caller that is refused comes back no sooner."""


def accept(
    store: object_store.ObjectStore, held: job.Job
) -> result.Result[bool, errors.ChestnutshuntError]:
    """Keep a job: its items first, then the object that accepts it.

    Returns
    -------
    Result
        True if this call accepted it, False if it had been accepted before.
        `PlatformUnavailable` means that it is not accepted and will not be by
        this call; `PlatformUncertain` that it may be.
    """
    parts = split_items(held.items)
    for number, part in enumerate(parts):
        value = {'items': part}
        kind = job_codec.items_kind(held.id)
        match create(store, kind, f'{number:04d}', value):
            case result.Success() | result.Failure(errors.Conflict()):
                pass
            case result.Failure(errors.PlatformUncertain() as exc):
                # Items alone accept nothing.
                return result.Failure(errors.PlatformUnavailable(exc.message))
            case failure:
                return failure
    value = job_codec.encode_job(held, len(parts), ended=False)
    match store.put(job_codec.JOB_KIND, held.id, value, object_store.ABSENT):
        case result.Success():
            return result.Success(True)
        case result.Failure(errors.Conflict()):
            return result.Success(False)
        case result.Failure(errors.PlatformUncertain()):
            return settle(store, held.id, value)
        case failure:
            return failure


def create(
    store: object_store.ObjectStore, kind: str, name: str, value: dict
) -> result.Result[stored_object.StoredObject, errors.ChestnutshuntError]:
    """Create an object, once more if there is no reply.

    Whoever creates it under this name writes the same, so that `Conflict`
    means that it is there.
    """
    for _ in range(TRIES):
        made = store.put(kind, name, value, object_store.ABSENT)
        match made:
            case result.Failure(errors.PlatformUncertain()):
                continue
        break
    return made


def settle(
    store: object_store.ObjectStore, job_id: str, value: dict
) -> result.Result[bool, errors.ChestnutshuntError]:
    """Find out what became of a create without a reply.

    Reading alone would not do, since the first create may still take effect.
    A second create of the same job decides it: one of the two wins, and
    either accepts the job.
    """
    match create(store, job_codec.JOB_KIND, job_id, value):
        case result.Success() | result.Failure(errors.Conflict()):
            return result.Success(True)
        case result.Failure(exc):
            return result.Failure(errors.PlatformUncertain(exc.message))


def read_job(
    store: object_store.ObjectStore, value: dict
) -> result.Result[job.Job, errors.ChestnutshuntError]:
    """Read the items of an accepted job.

    Parameters
    ----------
    store : ObjectStore
        Where the items are.
    value : dict
        The object that accepted the job.
    """
    match store.list_kind(job_codec.items_kind(value['id'])):
        case result.Success(found):
            parts = sorted(found.objects, key=lambda x: x.name)
        case failure:
            return failure
    if len(parts) < value['parts']:
        message = f'Items of job {value["id"]} are missing.'
        return result.Failure(errors.PlatformUnavailable(message))
    items = tuple(
        entry
        for part in parts[: value['parts']]
        for entry in job_codec.decode_items(part.value['items'])
    )
    return result.Success(job_codec.decode_job(value, items))


def split_items(items: tuple[item.Item, ...]) -> list[list[dict]]:
    """Return the items' JSON forms in parts that fit into one object."""
    parts: list[list[dict]] = [[]]
    size = 0
    for value in job_codec.encode_items(items):
        length = len(json.dumps(value))
        if parts[-1] and size + length > PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(value)
        size += length
    return parts
