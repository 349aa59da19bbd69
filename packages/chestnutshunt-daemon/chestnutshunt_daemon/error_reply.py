"""Errors as callers and operators see them."""

import json
import math

from chestnutshunt.attempts import progress
from chestnutshunt import errors

__all__ = ['REASONS', 'headers_of', 'render_error', 'unexpected']

REASONS = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Content Too Large',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def unexpected() -> errors.ChestnutshuntError:
    """Return the error of a fault in the daemon itself."""
    error = errors.ChestnutshuntError('The daemon failed.')
    error.progress = progress.Progress.MAY_HAVE_RUN
    return error


def headers_of(
    error: errors.ChestnutshuntError, payload: bytes
) -> list[tuple[str, str]]:
    """Return the headers that go with a rendered error."""
    found = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(payload))),
    ]
    if error.retry_after_s is not None:
        seconds = max(math.ceil(error.retry_after_s), 1)
        found.append(('Retry-After', str(seconds)))
    return found


def render_error(error: errors.ChestnutshuntError, request_id: str) -> bytes:
    """Return the JSON form of an error."""
    reached = error.progress or progress.Progress.NOT_SENT
    fields = {
        'kind': error.kind,
        'message': error.message,
        'remedy': error.remedy,
        'ran': reached.value,
        'request': request_id,
    }
    if error.retry_after_s is not None:
        fields['retry_after_s'] = round(error.retry_after_s, 3)
    return json.dumps({'error': fields}).encode() + b'\n'
