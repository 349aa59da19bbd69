"""Writer of a client connection."""

from chestnutshunt_daemon.clients import client_socket

__all__ = ['ClientWriter']


class ClientWriter:
    """Writes responses without copies of them.

    Parameters
    ----------
    sock : ClientSocket
        Socket that is written to.
    """

    def __init__(self, sock: client_socket.ClientSocket) -> None:
        self.sock = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send data; raises the errors of `ClientSocket.send_all`."""
        self.sock.send_all(data)
        self.bytes_written += len(data)
        return len(data)
