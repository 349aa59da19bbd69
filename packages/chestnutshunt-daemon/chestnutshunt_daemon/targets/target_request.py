"""A request to targets."""

from collections.abc import Callable

import attrs

from chestnutshunt_daemon.targets import stream_position

__all__ = ['TargetRequest']


@attrs.frozen
class TargetRequest:
    """The part of a request that is the same in every attempt.

    Attributes
    ----------
    id : str
        Id that the caller gave the request.
    method : str
        HTTP method.
    path : str
        Path and query as the caller sent them.
    host : str
        Value of the Host header.
    headers : tuple of (str, str)
        Headers to forward, without hop-by-hop headers.
    body : bytes
        Complete body.
    workspace : str
        Workspace of the caller's key; empty if there is none.
    deadline : float
        Monotonic time in seconds after which the response is not needed.
    position : StreamPosition
        Where the caller takes a stream up again.
    cover_answer : callable
        Holds memory for a response of so many bytes; raises `OutOfMemory`.
    """

    id: str
    method: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = attrs.field(repr=False)
    workspace: str
    deadline: float
    position: stream_position.StreamPosition = stream_position.StreamPosition()
    cover_answer: Callable[[int], None] = attrs.field(
        default=lambda size: None, repr=False, eq=False
    )
