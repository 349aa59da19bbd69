"""HTTP connection of a client within the budget of all clients."""

import contextlib
import socket
from typing import Any

from cheroot import server

from chestnutshunt import errors
from chestnutshunt_daemon.clients import client_reader
from chestnutshunt_daemon.clients import client_socket
from chestnutshunt_daemon.clients import client_writer
from chestnutshunt_daemon.clients import holding
from chestnutshunt_daemon.clients import request_body

__all__ = ['ClientConnection', 'Request']

# Part of a head that the memory of a connection covers.
FREE_HEAD_BYTES = 16_384

HEAD_TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


class HeaderReader(server.HeaderReader):
    """Rejects a first header line that starts with whitespace.

    Cheroot raises UnboundLocalError for such a continuation line that has no
    header before it.
    """

    def __call__(self, rfile: Any, hdict: dict | None = None) -> dict:
        """Read the headers; a `ValueError` leads to status 400."""
        try:
            return super().__call__(rfile, hdict)
        except UnboundLocalError as exc:
            raise ValueError(
                'The first header line starts with whitespace.'
            ) from exc


class Request(server.HTTPRequest):
    """HTTP request whose body is read within bounds."""

    header_reader = HeaderReader()

    def respond(self) -> None:
        """Call the gateway and write its response."""
        self.rfile = self.make_body()
        if self.rfile.is_buffered:
            self.server.gateway(self).respond()
        else:
            self.conn.client.set_reading(True)
            self.server.gateway(self).respond()
            self.conn.client.set_reading(False)
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b'0\r\n\r\n')

    def make_body(self) -> request_body.RequestBody:
        """Return the body, of which nothing has been read."""
        if self.chunked_read:
            return request_body.ChunkedBody(
                self.conn.rfile,
                self.conn.cover_body,
                self.server.max_request_body_size,
                self.server.max_request_header_size,
            )
        length = int(self.inheaders.get(b'Content-Length', 0))
        return request_body.LengthBody(
            self.conn.rfile, self.conn.cover_body, max(length, 0)
        )

    def send_headers(self) -> None:
        """Write the head, once what is left of the body has been read.

        A client reads no response before it has sent its body.
        """
        if not self.rfile.is_complete:
            try:
                with self.server.requests.while_waiting():
                    self.rfile.discard()
            except (OSError, ValueError, errors.BadRequest):
                self.close_connection = True
        super().send_headers()


class ClientConnection(server.HTTPConnection):
    """HTTP connection that is given a thread once a whole head has come."""

    RequestHandlerClass = Request

    def __init__(
        self, server: server.HTTPServer, sock: socket.socket, makefile: Any
    ) -> None:
        self.budget = server.budget
        self.holder = server.budget.open(
            lambda: sock.shutdown(socket.SHUT_RDWR)
        )
        self.is_new = True
        self.head_since: float | None = None
        self.idle_since = server.clock.monotonic()
        self.client = client_socket.ClientSocket(
            sock,
            self.holder or holding.Holding(sock.close),
            server.budget,
            server.requests,
            server.timeout,
        )
        files = {
            'rb': client_reader.ClientReader(self.client),
            'wb': client_writer.ClientWriter(self.client),
        }
        super().__init__(server, sock, lambda _, mode, size: files[mode])

    def communicate(self) -> bool:
        """Serve a request if its head has come.

        Returns True if the connection should be kept open.
        """
        if not self.rfile.receive_head(self.server.max_request_header_size):
            return self.keep_part_of_head()
        if not self.rfile.buffer:
            return False
        self.head_since = None
        self.budget.begin_request(self.holder)
        try:
            return super().communicate()
        finally:
            self.budget.end_request(self.holder)
            self.idle_since = self.server.clock.monotonic()

    def keep_part_of_head(self) -> bool:
        """Return whether there is memory for the part that has come."""
        if self.rfile.buffer and self.head_since is None:
            self.head_since = self.server.clock.monotonic()
        size = len(self.rfile.buffer)
        if size <= FREE_HEAD_BYTES:
            return True
        try:
            self.budget.cover(self.holder, holding.Part.HEAD, size, 0.0)
        except errors.OutOfMemory:
            return False
        return True

    def cover_body(self, size: int) -> None:
        """Hold memory for the body of a request; raises `OutOfMemory`."""
        self.cover(holding.Part.BODY, size)

    def cover(self, part: holding.Part, size: int) -> None:
        """Hold memory for a part of a request; raises `OutOfMemory`."""
        if size <= holding.FREE_PART_BYTES:
            size = 0
        if self.holder.held.get(part, 0) != size:
            self.budget.cover(self.holder, part, size)

    def is_overdue(self, now: float) -> bool:
        """Return whether the client has taken too long for its next head."""
        if self.head_since is not None:
            return now - self.head_since > self.server.header_timeout
        return now - self.idle_since > self.server.timeout

    def refuse_overdue(self) -> None:
        """Close the connection; a head that was begun is answered."""
        if self.head_since is not None:
            with contextlib.suppress(OSError):
                self.socket.send(HEAD_TIMEOUT_RESPONSE)
        self.close()

    def close(self) -> None:
        """Close the connection and give back what it held."""
        try:
            super().close()
        finally:
            if self.holder is not None:
                self.budget.close(self.holder)
