"""Response that is read only if it follows HTTP/1."""

import http.client
import io

from chestnutshunt_daemon.http1 import chunked_source
from chestnutshunt_daemon.http1 import raw_head

__all__ = ['CheckedResponse']


class CheckedResponse(http.client.HTTPResponse):
    """Response of the standard library behind a check of the wire format.

    The standard library stops reading a head at a line that is no field, and
    takes a length that it can't parse for none, so that the body lasts until
    the connection ends. Both leave no trace.
    """

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        MalformedResponse
            The head, or that of an interim response, is malformed.
        RemoteDisconnected, ProtocolError
            The connection ended before or within the head.
        """
        source = self.fp
        head = raw_head.read_head(source)
        self.fp = io.BytesIO(head.encode())
        try:
            super().begin()
        finally:
            self.fp = source
        if self.chunked:
            self.fp = chunked_source.ChunkedSource(source)
