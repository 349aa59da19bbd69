"""A response of a target, whose body is read as it arrives."""

from collections.abc import Callable
from collections.abc import Iterator
import io
import logging

import attrs
import urllib3

from chestnutshunt_daemon import bounded_socket
from chestnutshunt_daemon import response_parts
from chestnutshunt_daemon import target_call
from chestnutshunt_daemon import target_error
from chestnutshunt_daemon.targets import response_head

__all__ = ['MAX_BODY_BYTES', 'TargetResponse']

LOG = logging.getLogger(__name__)

# Largest body that is kept in memory until it is complete, and the time in
# which it must arrive.
MAX_BODY_BYTES = 16_777_216
BODY_READ_S = 10.0

# A body that is not used is read within these bounds, so that its connection
# can be used again; beyond them a new connection costs less.
MAX_UNUSED_BYTES = 65_536
UNUSED_READ_S = 0.1

EVENT_STREAM_TYPE = 'text/event-stream'


@attrs.define(eq=False)
class TargetResponse:
    """A response whose head was read and whose body may still arrive.

    Attributes
    ----------
    head : ResponseHead
        Decoded head.
    headers : list of (str, str)
        Headers that may be forwarded.
    http_response : BaseHTTPResponse
        The underlying response.
    sock : BoundedSocket
        Socket that the response is read from.
    target_id : str
        Id of the target, for error messages.
    reused : bool
        True if its connection had carried other requests before.
    complete : bool
        True once the body was read to its end.
    """

    head: response_head.ResponseHead
    headers: list[tuple[str, str]]
    http_response: urllib3.BaseHTTPResponse
    sock: bounded_socket.BoundedSocket
    target_id: str
    reused: bool = False
    complete: bool = False

    @property
    def has_events(self) -> bool:
        """True if the body is a stream of events, not that of an error."""
        media_type = self.http_response.headers.get('Content-Type', '')
        return self.head.status == 200 and media_type.lower().startswith(
            EVENT_STREAM_TYPE
        )

    def chunks(
        self,
        read_s: float | None = None,
        max_bytes: int | None = None,
        part_s: float | None = None,
    ) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Parameters
        ----------
        read_s : float, optional
            Seconds in which the whole body must arrive. Without it, the body
            may have any length, and each part of it is bounded.
        max_bytes : int, optional
            Largest body with its framing in bytes; any by default.
        part_s : float, optional
            Seconds in which a part of the body, or its trailer, must arrive.
            Without it, only the time between two reads is bounded.

        Raises
        ------
        TargetError
            The body ended early, exceeds a bound, or no data arrived for too
            long.
        """
        is_whole = read_s is not None
        self.sock.limit(read_s, max_bytes)
        with target_call.translate_body_errors(self.target_id):
            yield from response_parts.read_parts(
                self.http_response, self.sock, part_s, is_whole
            )
        self.complete = True

    def body(
        self,
        read_s: float = BODY_READ_S,
        max_bytes: int = MAX_BODY_BYTES,
        cover: Callable[[int], None] = lambda size: None,
    ) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        read_s, max_bytes : float, int
            As for `chunks`.
        cover : callable, optional
            Called with the bytes kept, before a part of them is read.
        """
        kept = io.BytesIO()
        cover(min(self.http_response.length_remaining or 0, max_bytes))
        for part in self.chunks(read_s, max_bytes):
            cover(kept.tell() + len(part))
            kept.write(part)
        return kept.getvalue()

    def discard(self) -> None:
        """Read a body that is not used, if it is short and arrives soon.

        Otherwise its connection is closed at the end of the exchange.
        """
        try:
            for _ in self.chunks(UNUSED_READ_S, MAX_UNUSED_BYTES):
                pass
        except target_error.TargetError as exc:
            LOG.info(
                'Rest of a response dropped',
                extra={
                    'request': self.head.request_id,
                    'target': self.target_id,
                    'error': exc.message,
                },
            )
