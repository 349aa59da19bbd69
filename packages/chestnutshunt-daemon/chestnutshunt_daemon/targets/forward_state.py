"""How far one request is over its attempts."""

import attrs

from chestnutshunt.deployment import route
from chestnutshunt.deployment import route_kind
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import open_exchange
from chestnutshunt_daemon.targets import target_request

__all__ = ['ForwardState']


@attrs.define(eq=False)
class ForwardState:
    """State of a request that is being served.

    Attributes
    ----------
    request : TargetRequest
        What is sent.
    route : Route
        Its route.
    service : str
        Service whose targets may run it.
    digest : str
        Identifies the request when it is sent again.
    cancel_token : Cutter
        Knows whether the caller has left.
    started_at : float
        Monotonic time in seconds at which serving it began.
    sent_at : float
        Monotonic time in seconds of the last attempt.
    open_exchanges : list of Begun
        Attempts that are under way.
    may_have_run : bool
        True once a target was sent the request and did not say otherwise.
    unavailable_ids : set of str
        Targets that were busy or not reached.
    reached_ids : set of str
        Targets that may have run it.
    resend_count : int
        Attempts at targets that had been reached before.
    """

    request: target_request.TargetRequest
    route: route.Route
    service: str
    digest: str
    cancel_token: cancel_token.CancelToken
    started_at: float
    sent_at: float = 0.0
    open_exchanges: list[open_exchange.OpenExchange] = attrs.field(
        factory=list
    )
    may_have_run: bool = False
    unavailable_ids: set[str] = attrs.field(factory=set)
    reached_ids: set[str] = attrs.field(factory=set)
    resend_count: int = 0

    @property
    def is_idempotent(self) -> bool:
        """True if the request may run more than once."""
        return self.route.kind is route_kind.RouteKind.IDEMPOTENT
