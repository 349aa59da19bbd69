"""HTTP form of errors."""

import json
import math

from chestnutshunt.attempts import progress
from chestnutshunt import errors

__all__ = ['REASON_PHRASES', 'error_headers', 'internal_error', 'render_error']

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
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def internal_error() -> errors.ChestnutshuntError:
    """Return the error for an unexpected exception in the daemon."""
    error = errors.ChestnutshuntError(
        'The daemon failed with an internal error.'
    )
    error.progress = progress.Progress.MAY_HAVE_RUN
    return error


def error_headers(
    error: errors.ChestnutshuntError, payload: bytes
) -> list[tuple[str, str]]:
    """Return the response headers of an error."""
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(payload))),
    ]
    if error.retry_after_s is not None:
        seconds = max(math.ceil(error.retry_after_s), 1)
        headers.append(('Retry-After', str(seconds)))
    return headers


def render_error(error: errors.ChestnutshuntError, request_id: str) -> bytes:
    """Encode an error as a JSON response body."""
    reported_progress = error.progress or progress.Progress.NOT_SENT
    fields = {
        'kind': error.kind,
        'message': error.message,
        'remedy': error.remedy,
        'ran': reported_progress.value,
        'request': request_id,
    }
    if error.retry_after_s is not None:
        fields['retry_after_s'] = round(error.retry_after_s, 3)
    return json.dumps({'error': fields}).encode() + b'\n'
