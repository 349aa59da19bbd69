"""Durable acceptance of a job by one conditional create."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any

from returns import result

from chestnutshunt import errors
from chestnutshunt.jobs import item
from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_codec
from chestnutshunt.store import object_store
from chestnutshunt.store import stored_object

__all__ = ['accept', 'read_job']

# The store takes objects of up to 1 MiB.
MAX_PART_BYTES = 800_000

# Piece of the text of an item that is larger. Quotes and backslashes take two
# bytes each.
MAX_PIECE_CHARS = 500_000

# Calls to create an object while no reply says whether it exists. Each takes
# half a second; a caller that is refused does not retry any sooner.
CREATE_ATTEMPT_COUNT = 2


def accept(
    store: object_store.ObjectStore, submitted: job.Job
) -> result.Result[bool, errors.ChestnutshuntError]:
    """Store a job: first its items, then the object that accepts it.

    Returns
    -------
    Result
        True if this call accepted the job, False if it was accepted before.
        `PlatformUnavailable` means that this call has not accepted the job
        and will not do so later; `PlatformUncertain` that it may have.
    """
    count = 0
    for number, value in enumerate(split_items(submitted.items)):
        count = number + 1
        kind = job_codec.items_kind(submitted.id)
        match create_with_retry(store, kind, f'{number:04d}', value):
            case result.Success() | result.Failure(errors.Conflict()):
                pass
            case result.Failure(errors.PlatformUncertain() as exc):
                # Without the job object, stored items have no effect.
                return result.Failure(errors.PlatformUnavailable(exc.message))
            case failure:
                return failure
    value = job_codec.encode_job(submitted, count, ended=False)
    match store.put(
        job_codec.JOB_KIND, submitted.id, value, object_store.ABSENT
    ):
        case result.Success():
            return result.Success(True)
        case result.Failure(errors.Conflict()):
            return result.Success(False)
        case result.Failure(errors.PlatformUncertain()):
            return resolve_create(store, submitted.id, value)
        case failure:
            return failure


def create_with_retry(
    store: object_store.ObjectStore, kind: str, name: str, value: dict
) -> result.Result[stored_object.StoredObject, errors.ChestnutshuntError]:
    """Create an object, and try again if there is no reply.

    Every writer of this name writes the same value, so `Conflict` means that
    the object exists as intended.
    """
    for _ in range(CREATE_ATTEMPT_COUNT):
        outcome = store.put(kind, name, value, object_store.ABSENT)
        match outcome:
            case result.Failure(errors.PlatformUncertain()):
                continue
        break
    return outcome


def resolve_create(
    store: object_store.ObjectStore, job_id: str, value: dict
) -> result.Result[bool, errors.ChestnutshuntError]:
    """Determine the outcome of a create that got no reply.

    A read is not enough, since the first create may still take effect after
    it. A second create of the same object decides: one of the two succeeds,
    and either accepts the job.
    """
    match create_with_retry(store, job_codec.JOB_KIND, job_id, value):
        case result.Success() | result.Failure(errors.Conflict()):
            return result.Success(True)
        case result.Failure(exc):
            return result.Failure(errors.PlatformUncertain(exc.message))


def read_job(
    store: object_store.ObjectStore, value: dict
) -> result.Result[job.Job, errors.ChestnutshuntError]:
    """Read an accepted job with its items.

    Parameters
    ----------
    store : ObjectStore
        Where the items are stored.
    value : dict
        Value of the object that accepted the job.

    Returns
    -------
    Result
        The job; `PlatformUnavailable` if parts of its items are missing.
    """
    match store.list_kind(job_codec.items_kind(value['id'])):
        case result.Success(listing):
            parts = sorted(listing.objects, key=lambda part: part.name)
        case failure:
            return failure
    if len(parts) < value['parts']:
        message = (
            f'Items of job {value["id"]} are missing: '
            f'{len(parts)} of {value["parts"]} parts are stored.'
        )
        return result.Failure(errors.PlatformUnavailable(message))
    items = tuple(join_parts(parts[: value['parts']]))
    return result.Success(job_codec.decode_job(value, items))


def split_items(items: tuple[item.Item, ...]) -> Iterator[dict[str, Any]]:
    """Yield the items' JSON forms in parts that fit into one object.

    The text of an item larger than `MAX_PART_BYTES` gets several parts.
    """
    part: list[dict] = []
    size = 0
    for entry in items:
        value = job_codec.encode_item(entry)
        text = json.dumps(value)
        if part and size + len(text) > MAX_PART_BYTES:
            yield {'items': part}
            part = []
            size = 0
        if len(text) > MAX_PART_BYTES:
            yield from split_text(text)
            continue
        part.append(value)
        size += len(text)
    if part:
        yield {'items': part}


def split_text(text: str) -> Iterator[dict[str, Any]]:
    """Yield the text of one item in pieces that fit into one object each."""
    for at in range(0, len(text), MAX_PIECE_CHARS):
        end = at + MAX_PIECE_CHARS
        yield {'piece': text[at:end], 'more': end < len(text)}


def join_parts(
    parts: Iterable[stored_object.StoredObject],
) -> Iterator[item.Item]:
    """Yield the items of parts that `split_items` has made."""
    pieces = []
    for part in parts:
        if 'piece' not in part.value:
            yield from job_codec.decode_items(part.value['items'])
            continue
        pieces.append(part.value['piece'])
        if not part.value['more']:
            yield job_codec.decode_item(json.loads(''.join(pieces)))
            pieces.clear()
