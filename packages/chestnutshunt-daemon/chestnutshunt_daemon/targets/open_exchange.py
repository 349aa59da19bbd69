"""A request that was sent to a target and awaits its response."""

import attrs
import urllib3.connection

from chestnutshunt.replicas import replica
from chestnutshunt_daemon import bounded_socket
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import target_request
from chestnutshunt_daemon.targets import target_response

__all__ = ['OpenExchange']


@attrs.define(eq=False)
class OpenExchange:
    """A request in progress and its connection.

    Attributes
    ----------
    replica : Replica
        Target that the request was sent to.
    request : TargetRequest
        The request.
    connection : HTTPConnection
        Connection of the exchange.
    sock : BoundedSocket
        Its socket, which the connection gives up to a response that ends
        with the connection.
    reused : bool
        True if the connection had carried other requests.
    cancel_token : CancelToken
        Holds the connection until the exchange is finished.
    response : TargetResponse or None
        The response once its head was read.
    sent_at : float
        Monotonic time in seconds at which the request was sent.
    """

    replica: replica.Replica
    request: target_request.TargetRequest
    connection: urllib3.connection.HTTPConnection
    sock: bounded_socket.BoundedSocket
    reused: bool
    cancel_token: cancel_token.CancelToken
    response: target_response.TargetResponse | None = None
    sent_at: float = 0.0
