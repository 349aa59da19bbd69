"""Filters for headers between callers and targets."""

from collections.abc import Iterable

__all__ = [
    'CONNECTION_HEADERS',
    'UNFORWARDED_HEADERS',
    'filter_for_caller',
    'filter_for_target',
]

# Headers that concern only the connection they were received on.
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

# Headers that are never forwarded as they were received.
UNFORWARDED_HEADERS = CONNECTION_HEADERS | {'expect', 'host'}

CREDENTIALS = frozenset(
    (
        'api-key',
        'authorization',
        'cookie',
        'proxy-authorization',
        'x-api-key',
        'x-auth-token',
    )
)


def filter_for_target(headers: dict[str, str], key: str) -> dict[str, str]:
    """Return the request headers to forward, without credentials.

    Parameters
    ----------
    headers : dict of str to str
        Request headers, names in lower case.
    key : str
        Value of Authorization. Headers that contain its token are dropped
        too.
    """
    token = key.split()[-1] if key.split() else ''
    return {
        name: value
        for name, value in headers.items()
        if name not in UNFORWARDED_HEADERS
        and name not in CREDENTIALS
        and not (token and token in value)
    }


def filter_for_caller(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the response headers of a target that are forwarded."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in UNFORWARDED_HEADERS
        and name.lower() != 'set-cookie'
    )
