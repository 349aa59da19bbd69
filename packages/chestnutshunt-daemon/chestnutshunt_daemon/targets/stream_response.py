"""A streamed response of a target."""

from collections.abc import Iterator

import attrs

from chestnutshunt_daemon.targets import response_head

__all__ = ['StreamResponse']


@attrs.define(eq=False)
class StreamResponse:
    """The head of a streamed response and an iterator over its body.

    Attributes
    ----------
    head : ResponseHead
        Decoded head of the first target's response.
    headers : list of (str, str)
        Headers that may be forwarded.
    chunks : iterator of bytes
        Body; raises `TargetFailed` if it cannot be completed.
    """

    head: response_head.ResponseHead
    headers: list[tuple[str, str]]
    chunks: Iterator[bytes]
