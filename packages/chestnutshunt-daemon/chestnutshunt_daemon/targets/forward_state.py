"""State of a forwarded request across its attempts."""

import attrs

from chestnutshunt.deployment import route
from chestnutshunt.deployment import route_kind
from chestnutshunt.replicas import replica
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import open_exchange
from chestnutshunt_daemon.targets import target_request

__all__ = ['ForwardState']


@attrs.define(eq=False)
class ForwardState:
    """State of one request that is being forwarded.

    Attributes
    ----------
    request : TargetRequest
        Request to send.
    route : Route
        Route of the request.
    service : str
        Service whose targets may run the request.
    digest : str
        Identifies the request when a caller sends it again.
    cancel_token : CancelToken
        Is cancelled when the caller disconnects.
    started_at : float
        Monotonic time in seconds at which forwarding began.
    is_owed : bool
        True if the request belongs to work that has been accepted for later.
    sent_at : float
        Monotonic time in seconds of the last attempt; also set to postpone
        the next one.
    open_exchanges : list of OpenExchange
        Attempts in progress.
    may_have_run : bool
        True once the request was sent to a target that did not deny running
        it.
    unavailable_ids : set of str
        Targets that were busy or could not be reached.
    reached_ids : set of str
        Targets that may have run the request.
    stale_keys : set of str
        Target processes that closed a pooled connection after the request
        was sent on it.
    stale_target : Replica or None
        The last of them until the request is sent on a new connection.
    resend_count : int
        Attempts at targets that had been reached before.
    """

    request: target_request.TargetRequest
    route: route.Route
    service: str
    digest: str
    cancel_token: cancel_token.CancelToken
    started_at: float
    is_owed: bool = False
    sent_at: float = 0.0
    open_exchanges: list[open_exchange.OpenExchange] = attrs.field(
        factory=list
    )
    may_have_run: bool = False
    unavailable_ids: set[str] = attrs.field(factory=set)
    reached_ids: set[str] = attrs.field(factory=set)
    stale_keys: set[str] = attrs.field(factory=set)
    stale_target: replica.Replica | None = None
    resend_count: int = 0

    @property
    def is_idempotent(self) -> bool:
        """True if the request may be run more than once."""
        return self.route.kind is route_kind.RouteKind.IDEMPOTENT
