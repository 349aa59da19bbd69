"""Identity of a request, equal for its duplicates."""

import fnmatch
import hashlib

from chestnutshunt.config import service_settings

__all__ = [
    'body_digest',
    'content_digest',
    'is_once',
    'request_identity',
]


def body_digest(service: str, path: str, body: bytes) -> str:
    """Return a digest of the request as sent to a target."""
    hasher = hashlib.blake2b(digest_size=16)
    hasher.update(f'{service}\0{path}\0'.encode())
    hasher.update(body)
    return hasher.hexdigest()


def content_digest(body: bytes) -> bytes:
    """Return a digest that only equal bodies have."""
    return hashlib.blake2b(body, digest_size=16).digest()


def request_identity(
    workspace: str,
    service: str,
    call: str,
    header: str,
    body: bytes,
) -> str:
    """Return the idempotency digest of a request.

    Parameters
    ----------
    workspace, service : str
        Scope in which the identity is unique.
    call : str
        ``METHOD /path``.
    header : str
        Value of the service's identity header; if empty, the body
        identifies the request.
    body : bytes
        Request body.
    """
    hasher = hashlib.blake2b(digest_size=16)
    hasher.update(f'{workspace}\0{service}\0{call}\0'.encode())
    if header:
        hasher.update(b'header\0' + header.encode())
    else:
        hasher.update(b'body\0')
        hasher.update(body)
    return hasher.hexdigest()


def is_once(settings: service_settings.ServiceSettings, call: str) -> bool:
    """Return whether a call must not be executed more than once."""
    return any(
        fnmatch.fnmatchcase(call, pattern) for pattern in settings.once_calls
    )
