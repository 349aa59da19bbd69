"""Which headers pass between callers and targets."""

from collections.abc import Iterable

__all__ = [
    'UNFORWARDED_HEADERS',
    'CONNECTION_HEADERS',
    'filter_for_caller',
    'filter_for_target',
]

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
"""Headers that concern only the connection they came on."""

UNFORWARDED_HEADERS = CONNECTION_HEADERS | {'expect', 'host'}
"""Headers of a caller's request that no target sees as they were sent."""

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
    """Return a caller's headers without credentials.

    Parameters
    ----------
    headers : dict of str to str
        Names in lower case.
    key : str
        Authorization value; a header that repeats its token is left out too.
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
    """Return a target's headers that a caller may see."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in UNFORWARDED_HEADERS
        and name.lower() != 'set-cookie'
    )
