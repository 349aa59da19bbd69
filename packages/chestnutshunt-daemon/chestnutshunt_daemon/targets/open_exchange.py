"""A request that was sent to a target and is not answered yet."""

import attrs
import urllib3.connection

from chestnutshunt.replicas import replica
from chestnutshunt_daemon.targets import cancel_token
from chestnutshunt_daemon.targets import target_request
from chestnutshunt_daemon.targets import target_response

__all__ = ['OpenExchange']


@attrs.define(eq=False)
class OpenExchange:
    """A request that was sent, and its connection.

    Attributes
    ----------
    replica : Replica
        Where it was sent.
    request : TargetRequest
        What was sent.
    connection : HTTPConnection
        Its connection.
    reused : bool
        True if the connection had carried other requests.
    cancel_token : Cutter
        Knows the connection until the exchange is finished.
    response : Answer or None
        The answer once its head was read.
    """

    replica: replica.Replica
    request: target_request.TargetRequest
    connection: urllib3.connection.HTTPConnection
    reused: bool
    cancel_token: cancel_token.CancelToken
    response: target_response.TargetResponse | None = None
