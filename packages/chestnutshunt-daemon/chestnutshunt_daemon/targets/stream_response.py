"""A stream whose head was read."""

from collections.abc import Iterator

import attrs

from chestnutshunt_daemon.targets import response_head

__all__ = ['StreamResponse']


@attrs.define(eq=False)
class StreamResponse:
    """The head of a stream and the rest of it.

    Attributes
    ----------
    head : ResponseHead
        What the first target's head says.
    headers : list of (str, str)
        Its headers.
    chunks : iterator of bytes
        The body; raises `TargetFailed` if it cannot be finished.
    """

    head: response_head.ResponseHead
    headers: list[tuple[str, str]]
    chunks: Iterator[bytes]
