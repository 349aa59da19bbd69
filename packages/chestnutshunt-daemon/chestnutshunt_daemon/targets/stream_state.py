"""How far a stream is over its targets."""

from collections.abc import Callable

import attrs

from chestnutshunt.deployment import route
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import target_request

__all__ = ['StreamState']


@attrs.define(eq=False)
class StreamState:
    """State of one stream.

    Attributes
    ----------
    request : TargetRequest
        What is sent.
    route : Route
        Its route.
    service : str
        Service whose targets may run it.
    cancel_token : Cutter
        Knows whether the caller has left.
    may_send : callable
        Tells whether the request is still allowed.
    tried_ids : set of str
        Targets that were asked.
    reached_count : int
        Targets that may have run it.
    last_event : int or None
        Last event that was passed on.
    """

    request: target_request.TargetRequest
    route: route.Route
    service: str
    cancel_token: cancel_token.CancelToken
    may_send: Callable[[], bool]
    tried_ids: set[str] = attrs.field(factory=set)
    reached_count: int = 0
    last_event: int | None = None
