"""Turns a WSGI environment into a checked request."""

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
    """Return an id for logs and answers."""
    return secrets.token_hex(8)


def find_header(environ: dict[str, Any], name: str) -> str:
    """Return a header, empty if it was not sent."""
    key = name.upper().replace('-', '_')
    if key in ('CONTENT_TYPE', 'CONTENT_LENGTH'):
        return environ.get(key, '')
    return environ.get(f'HTTP_{key}', '')


def split_path(environ: dict[str, Any]) -> tuple[str, str]:
    """Return the service and the path at the target.

    Raises
    ------
    RouteUnknown
        The path is not ``/s/SERVICE/...``.
    """
    raw = environ.get('REQUEST_URI') or environ.get('PATH_INFO', '')
    path, _, query = raw.partition('?')
    parts = path.split('/', 3)
    if len(parts) < 3 or parts[:2] != ['', 's'] or not parts[2]:
        raise errors.RouteUnknown(
            'The path names no service.', 'Use /s/SERVICE/PATH.'
        )
    rest = '/' + (parts[3] if len(parts) == 4 else '')
    if not PATH.fullmatch(rest):
        raise errors.BadRequest(
            'The path has bytes that need to be quoted.',
            'Percent-encode everything but printable ASCII.',
        )
    return parts[2], f'{rest}?{query}' if query else rest


def read_body(environ: dict[str, Any], limit: int) -> bytes:
    """Read the whole body.

    Raises
    ------
    BadRequest
        The body is too large, or ended early.
    """
    too_large = errors.BadRequest(
        f'The body is larger than {limit} bytes.',
        'Send less, or have max_body_bytes raised.',
    )
    too_large.status = 413
    declared = environ.get('CONTENT_LENGTH') or ''
    if declared and int(declared) > limit:
        raise too_large
    try:
        body = environ['wsgi.input'].read(limit + 1)
    except (OSError, ValueError) as exc:
        raise errors.BadRequest('The body could not be read.') from exc
    if len(body) > limit:
        raise too_large
    if declared and len(body) < int(declared):
        raise errors.BadRequest('The body ended early.')
    return body


def parse(
    state: node.Node,
    environ: dict[str, Any],
    service: str,
    path: str,
    settings: service_settings.ServiceSettings,
) -> caller_request.CallerRequest:
    """Build a request whose key has been checked.

    Raises
    ------
    BadRequest
        Names what is wrong with the request.
    """
    method = environ['REQUEST_METHOD']
    if method not in METHODS:
        raise errors.BadRequest(
            'The method is not known.', f'Use {", ".join(sorted(METHODS))}.'
        )
    sent = collect_headers(environ)
    identity = find_header(environ, settings.identity_header)
    if len(identity) > MAX_IDENTITY_LENGTH:
        raise errors.BadRequest(
            f'{settings.identity_header} is too long.',
            f'Use at most {MAX_IDENTITY_LENGTH} characters.',
        )
    timeout = parse_timeout(find_header(environ, TIMEOUT_HEADER), settings)
    return caller_request.CallerRequest(
        id=environ['chestnutshunt.id'],
        service=service,
        settings=settings,
        method=method,
        path=path,
        headers=headers.filter_for_target(sent, sent.get('authorization', '')),
        body=read_body(environ, settings.max_body_bytes),
        deadline=state.clock.monotonic() + timeout,
        identity_header=identity,
    )


def collect_headers(environ: dict[str, Any]) -> dict[str, str]:
    """Return the caller's headers, names in lower case."""
    found = {
        key[5:].lower().replace('_', '-'): value
        for key, value in environ.items()
        if key.startswith('HTTP_')
    }
    if environ.get('CONTENT_TYPE'):
        found['content-type'] = environ['CONTENT_TYPE']
    for name, value in found.items():
        if not PRINTABLE.fullmatch(value):
            raise errors.BadRequest(
                f'The header {name} has bytes that are not allowed.'
            )
    return found


def parse_timeout(
    text: str, settings: service_settings.ServiceSettings
) -> float:
    """Return the request's time in seconds, at most the service's."""
    if not text:
        return settings.timeout_s
    try:
        asked = float(text)
    except ValueError:
        asked = -1.0
    if not asked > 0:
        raise errors.BadRequest(
            f'{TIMEOUT_HEADER} is not a time.',
            f'Send {TIMEOUT_HEADER}: SECONDS, greater than 0.',
        )
    return min(asked, settings.timeout_s)
