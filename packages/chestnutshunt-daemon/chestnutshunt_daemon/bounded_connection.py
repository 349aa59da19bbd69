"""HTTP connection whose reads can be bounded."""

import urllib3.connection

from chestnutshunt_daemon import bounded_socket
from chestnutshunt_daemon.http1 import checked_response

__all__ = ['BoundedConnection', 'reply_manager']

# Largest reply of a call: a page of a list is about 1 MB, an object at most
# that.
MAX_REPLY_BYTES = 8_388_608


class BoundedConnection(urllib3.connection.HTTPConnection):
    """Connection with a `BoundedSocket`, which rejects malformed responses."""

    sock: bounded_socket.BoundedSocket
    response_class = checked_response.CheckedResponse

    def connect(self) -> None:
        """Connect, and bound the reads of the socket from now on."""
        super().connect()
        self.sock = bounded_socket.bound(self.sock)


class ReplyResponse(checked_response.CheckedResponse):
    """Reply that is read whole."""

    def begin(self) -> None:
        """Read the head; raises `HTTPError` if the body is too long.

        Memory for all of a body of known length is reserved at once.
        """
        super().begin()
        if self.length and self.length > MAX_REPLY_BYTES:
            raise urllib3.exceptions.HTTPError(
                f'The reply has more than {MAX_REPLY_BYTES} bytes.'
            )


class ReplyConnection(BoundedConnection):
    """Connection of a client that reads every reply whole.

    A reply must arrive within the timeout of its call and `MAX_REPLY_BYTES`.
    """

    response_class = ReplyResponse

    def getresponse(self) -> urllib3.HTTPResponse:
        """Read the head of a reply."""
        self.sock.limit(self.timeout, MAX_REPLY_BYTES)
        return super().getresponse()


class ReplyPool(urllib3.HTTPConnectionPool):
    """Pool of such connections."""

    ConnectionCls = ReplyConnection


def reply_manager(connections: int) -> urllib3.PoolManager:
    """Return a client that reads every reply whole and never retries.

    Parameters
    ----------
    connections : int
        Connections kept open to one address.
    """
    manager = urllib3.PoolManager(
        num_pools=64, maxsize=connections, retries=False
    )
    manager.pool_classes_by_scheme = {'http': ReplyPool}
    return manager
