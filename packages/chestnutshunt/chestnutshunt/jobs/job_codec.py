"""How jobs are kept in the object store."""

import base64
from typing import Any

import attrs

from chestnutshunt.jobs import item
from chestnutshunt.jobs import job
from chestnutshunt.jobs import score_call

__all__ = [
    'JOB_KIND',
    'decode_items',
    'decode_job',
    'encode_items',
    'encode_job',
    'items_kind',
    'log_kind',
]

JOB_KIND = 'job'
"""One small object a job, written last: its creation is the acceptance."""


def items_kind(job_id: str) -> str:
    """Return the kind whose objects hold the items of a job."""
    return f'items-{job_id}'


def log_kind(job_id: str) -> str:
    """Return the kind whose objects hold the results of a job."""
    return f'results-{job_id}'


def encode_job(held: job.Job, parts: int, ended: bool) -> dict[str, Any]:
    """Return the JSON form of a job without its items."""
    value = attrs.asdict(held, filter=lambda field, _: field.name != 'items')
    return {**value, 'parts': parts, 'total': len(held.items), 'ended': ended}


def decode_job(value: dict[str, Any], items: tuple[item.Item, ...]) -> job.Job:
    """Build a job from its JSON form and its items."""
    names = {field.name for field in attrs.fields(job.Job)} - {'items'}
    return job.Job(items=items, **{name: value[name] for name in names})


def encode_items(items: tuple[item.Item, ...]) -> list[dict[str, Any]]:
    """Return the JSON form of items."""
    return [encode_item(held) for held in items]


def encode_item(held: item.Item) -> dict[str, Any]:
    """Return the JSON form of an item."""
    value = attrs.asdict(held, recurse=False)
    value['body'] = encode_bytes(held.body)
    if held.scoring is not None:
        call = attrs.asdict(held.scoring)
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
    """Return bytes as text."""
    return base64.b64encode(data).decode()
