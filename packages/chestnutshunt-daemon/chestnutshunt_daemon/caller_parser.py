"""Parses and validates the requests of callers."""

import re
import secrets
from typing import Any

from chestnutshunt.config import service_settings
from chestnutshunt import errors
from chestnutshunt_daemon import caller_request
from chestnutshunt_daemon import headers
from chestnutshunt_daemon import node

__all__ = ['find_header', 'new_request_id', 'parse', 'read_body', 'split_path']

METHODS = frozenset(('DELETE', 'GET', 'HEAD', 'PATCH', 'POST', 'PUT'))
TIMEOUT_HEADER = 'Request-Timeout'
MAX_IDENTITY_LENGTH = 256
PRINTABLE = re.compile(r'[\x20-\x7e]*')
PATH = re.compile(r'/[!-~]*')


def new_request_id() -> str:
    """Return a random request id for logs and responses."""
    return secrets.token_hex(8)


def find_header(environ: dict[str, Any], name: str) -> str:
    """Return a request header, or an empty string if it is absent."""
    key = name.upper().replace('-', '_')
    if key in ('CONTENT_TYPE', 'CONTENT_LENGTH'):
        return environ.get(key, '')
    return environ.get(f'HTTP_{key}', '')


def split_path(environ: dict[str, Any]) -> tuple[str, str]:
    """Split ``/s/SERVICE/PATH?QUERY`` into service and target path.

    Raises
    ------
    RouteUnknown
        The path does not start with ``/s/SERVICE``.
    """
    uri = environ.get('REQUEST_URI') or environ.get('PATH_INFO', '')
    path, _, query = uri.partition('?')
    parts = path.split('/', 3)
    if len(parts) < 3 or parts[:2] != ['', 's'] or not parts[2]:
        raise errors.RouteUnknown(
            'The path does not name a service.', 'Use /s/SERVICE/PATH.'
        )
    target_path = '/' + (parts[3] if len(parts) == 4 else '')
    if not PATH.fullmatch(target_path):
        raise errors.BadRequest(
            'The path contains characters that must be percent-encoded.',
            'Percent-encode all characters except printable ASCII.',
        )
    return parts[2], f'{target_path}?{query}' if query else target_path


def read_body(environ: dict[str, Any], limit: int) -> bytes:
    """Read the request body.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    limit : int
        Largest size in bytes.

    Raises
    ------
    BadRequest
        The body is too large (status 413), unreadable or incomplete.
    """
    too_large = errors.BadRequest(
        f'The request body is larger than {limit} bytes.',
        'Send a smaller body, or have max_body_bytes raised.',
    )
    too_large.status = 413
    content_length = environ.get('CONTENT_LENGTH') or ''
    if content_length and int(content_length) > limit:
        raise too_large
    try:
        body = environ['wsgi.input'].read(limit + 1)
    except (OSError, ValueError) as exc:
        raise errors.BadRequest('The request body could not be read.') from exc
    if len(body) > limit:
        raise too_large
    if content_length and len(body) < int(content_length):
        raise errors.BadRequest(
            'The request body is shorter than its Content-Length.'
        )
    return body


def parse(
    state: node.Node,
    environ: dict[str, Any],
    service: str,
    path: str,
    settings: service_settings.ServiceSettings,
) -> caller_request.CallerRequest:
    """Build a request from the WSGI environment; its key is checked before.

    Raises
    ------
    BadRequest
        The method, a header or the body is not valid.
    """
    method = environ['REQUEST_METHOD']
    if method not in METHODS:
        raise errors.BadRequest(
            'The HTTP method is not supported.',
            f'Use {", ".join(sorted(METHODS))}.',
        )
    request_headers = collect_headers(environ)
    identity = find_header(environ, settings.identity_header)
    if len(identity) > MAX_IDENTITY_LENGTH:
        raise errors.BadRequest(
            f'{settings.identity_header} is too long.',
            f'Use at most {MAX_IDENTITY_LENGTH} characters.',
        )
    timeout_s = parse_timeout(find_header(environ, TIMEOUT_HEADER), settings)
    return caller_request.CallerRequest(
        id=environ['chestnutshunt.id'],
        service=service,
        settings=settings,
        method=method,
        path=path,
        headers=headers.filter_for_target(
            request_headers, request_headers.get('authorization', '')
        ),
        body=read_body(environ, settings.max_body_bytes),
        deadline=state.clock.monotonic() + timeout_s,
        identity_header=identity,
    )


def collect_headers(environ: dict[str, Any]) -> dict[str, str]:
    """Return the request headers by their names in lower case."""
    request_headers = {
        key[5:].lower().replace('_', '-'): value
        for key, value in environ.items()
        if key.startswith('HTTP_')
    }
    if environ.get('CONTENT_TYPE'):
        request_headers['content-type'] = environ['CONTENT_TYPE']
    for name, value in request_headers.items():
        if not PRINTABLE.fullmatch(value):
            raise errors.BadRequest(
                f'The header {name} contains characters that are not allowed.'
            )
    return request_headers


def parse_timeout(
    text: str, settings: service_settings.ServiceSettings
) -> float:
    """Return the request timeout in seconds.

    The caller can shorten the timeout of the service, but not extend it.
    """
    if not text:
        return settings.timeout_s
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not timeout_s > 0:
        raise errors.BadRequest(
            f'{TIMEOUT_HEADER} is not a number of seconds.',
            f'Send {TIMEOUT_HEADER}: SECONDS, greater than 0.',
        )
    return min(timeout_s, settings.timeout_s)
