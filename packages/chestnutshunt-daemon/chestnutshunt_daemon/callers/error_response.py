"""JSON responses for errors."""

import json

from chestnutshunt import errors
from chestnutshunt_daemon.callers import caller_response

__all__ = ['JSON_HEADER', 'error_response']

JSON_HEADER = ('Content-Type', 'application/json')


def error_response(
    exc: errors.ChestnutshuntError,
) -> caller_response.CallerResponse:
    """Return the JSON response for an error."""
    response_headers = [JSON_HEADER]
    if exc.retry_after_s is not None:
        response_headers.append(('Retry-After', str(exc.retry_after_s)))
    value = {
        'error': exc.kind,
        'message': exc.message,
        'remedy': exc.remedy,
    }
    return caller_response.CallerResponse(
        exc.status, response_headers, json.dumps(value).encode()
    )
