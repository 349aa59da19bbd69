"""State of a forwarded stream across its attempts."""

from collections.abc import Callable

import attrs

from chestnutshunt.deployment import route
from chestnutshunt.replicas import replica
from chestnutshunt.streams import stream_origin
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import target_request

__all__ = ['StreamState']


@attrs.define(eq=False)
class StreamState:
    """State of one stream that is being forwarded.

    Attributes
    ----------
    request : TargetRequest
        Request to send.
    route : Route
        Route of the request.
    service : str
        Service whose targets may run the request.
    cancel_token : CancelToken
        Is cancelled when the caller disconnects.
    may_send : callable
        Tells whether the request is still allowed.
    tried_ids : set of str
        Targets that were chosen for an attempt.
    reached_count : int
        Targets that may have run the request.
    digest : str
        Identifies the request when a caller sends it again.
    stale_keys : set of str
        Target processes that closed a pooled connection after the request
        was sent on it.
    stale_target : Replica or None
        The last of them until the request is sent on a new connection.
    begun : bool
        True once the caller has the head of a response.
    last_event : int or None
        Id of the last event that the caller has.
    origin : StreamOrigin or None
        Origin of the events so far; ``None`` before the first one.
    origin_noted_at : float
        Monotonic time in seconds at which the origin was last recorded.
    target : Replica or None
        Target whose events are forwarded.
    """

    request: target_request.TargetRequest
    route: route.Route
    service: str
    cancel_token: cancel_token.CancelToken
    may_send: Callable[[], bool]
    tried_ids: set[str] = attrs.field(factory=set)
    reached_count: int = 0
    digest: str = ''
    stale_keys: set[str] = attrs.field(factory=set)
    stale_target: replica.Replica | None = None
    begun: bool = False
    last_event: int | None = None
    origin: stream_origin.StreamOrigin | None = None
    origin_noted_at: float = 0.0
    target: replica.Replica | None = None

    @property
    def begun_by(self) -> str:
        """Id of the request that began the stream."""
        if self.is_taken_up:
            return self.request.position.begun_by
        return self.request.id

    @property
    def is_taken_up(self) -> bool:
        """True if the caller goes on with a stream that it had begun."""
        return (
            self.route.resumable
            and self.request.position.last_event is not None
        )
