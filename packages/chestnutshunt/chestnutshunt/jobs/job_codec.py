"""Codec between jobs and their objects in the store."""

import base64
from typing import Any

import attrs

from chestnutshunt.jobs import item
from chestnutshunt.jobs import job
from chestnutshunt.jobs import score_call

__all__ = [
    'JOB_KIND',
    'decode_item',
    'decode_items',
    'decode_job',
    'encode_item',
    'encode_items',
    'encode_job',
    'items_kind',
    'log_kind',
]

# One small object per job, written after the items: creating it accepts the
# job.
JOB_KIND = 'job'


def items_kind(job_id: str) -> str:
    """Return the object kind that holds the items of a job."""
    return f'items-{job_id}'


def log_kind(job_id: str) -> str:
    """Return the object kind that holds the results of a job."""
    return f'results-{job_id}'


def encode_job(submitted: job.Job, parts: int, ended: bool) -> dict[str, Any]:
    """Return the JSON form of a job without its items.

    Parameters
    ----------
    submitted : Job
        The job.
    parts : int
        Number of objects that hold its items.
    ended : bool
        True once the job has ended.
    """
    value = attrs.asdict(
        submitted, filter=lambda field, _: field.name != 'items'
    )
    return {
        **value,
        'parts': parts,
        'total': len(submitted.items),
        'ended': ended,
    }


def decode_job(value: dict[str, Any], items: tuple[item.Item, ...]) -> job.Job:
    """Build a job from its JSON form and its items."""
    names = {field.name for field in attrs.fields(job.Job)} - {'items'}
    return job.Job(items=items, **{name: value[name] for name in names})


def encode_items(items: tuple[item.Item, ...]) -> list[dict[str, Any]]:
    """Return the JSON form of items."""
    return [encode_item(entry) for entry in items]


def encode_item(entry: item.Item) -> dict[str, Any]:
    """Return the JSON form of an item."""
    value = attrs.asdict(entry, recurse=False)
    value['body'] = encode_bytes(entry.body)
    if entry.scoring is not None:
        call = attrs.asdict(entry.scoring)
        value['scoring'] = {**call, 'body': encode_bytes(call['body'])}
    return value


def decode_items(values: list[dict[str, Any]]) -> tuple[item.Item, ...]:
    """Build items from their JSON form."""
    return tuple(decode_item(value) for value in values)


def decode_item(value: dict[str, Any]) -> item.Item:
    """Build an item from its JSON form."""
    call = value['scoring']
    if call is not None:
        body = base64.b64decode(call['body'])
        call = score_call.ScoreCall(**{**call, 'body': body})
    body = base64.b64decode(value['body'])
    return item.Item(**{**value, 'body': body, 'scoring': call})


def encode_bytes(data: bytes) -> str:
    """Return bytes as Base64 text."""
    return base64.b64encode(data).decode()
