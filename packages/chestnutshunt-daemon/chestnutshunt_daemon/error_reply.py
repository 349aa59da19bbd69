"""Errors as callers and operators see them."""

import json
import math

from chestnutshunt.attempts import progress
from chestnutshunt import errors

__all__ = ['REASON_PHRASES', 'error_headers', 'render_error', 'internal_error']

REASON_PHRASES = {
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


def internal_error() -> errors.ChestnutshuntError:
    """Return the error of a fault in the daemon itself."""
    error = errors.ChestnutshuntError('The daemon failed.')
    error.ran = progress.Progress.MAY_HAVE_RUN
    return error


def error_headers(
    error: errors.ChestnutshuntError, payload: bytes
) -> list[tuple[str, str]]:
    """Return the headers that go with a rendered error."""
    found = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(payload))),
    ]
    if error.retry_after is not None:
        seconds = max(math.ceil(error.retry_after), 1)
        found.append(('Retry-After', str(seconds)))
    return found


def render_error(error: errors.ChestnutshuntError, request_id: str) -> bytes:
    """Return the JSON form of an error."""
    reached = error.ran or progress.Progress.NOT_SENT
    fields = {
        'kind': error.kind,
        'message': error.message,
        'remedy': error.remedy,
        'ran': reached.value,
        'request': request_id,
    }
    if error.retry_after is not None:
        fields['retry_after_s'] = round(error.retry_after, 3)
    return json.dumps({'error': fields}).encode() + b'\n'
