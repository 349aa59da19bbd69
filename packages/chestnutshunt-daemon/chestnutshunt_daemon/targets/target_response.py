"""A response of a target, whose body is read as it arrives."""

from collections.abc import Iterator

import attrs
import urllib3

from chestnutshunt_daemon import target_call
from chestnutshunt_daemon.targets import response_head

__all__ = ['TargetResponse']

CHUNK_BYTES = 65_536


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
    target_id : str
        Id of the target, for error messages.
    complete : bool
        True once the body was read to its end.
    """

    head: response_head.ResponseHead
    headers: list[tuple[str, str]]
    http_response: urllib3.BaseHTTPResponse
    target_id: str
    complete: bool = False

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        TargetError
            The body ended early, or no data arrived for too long.
        """
        with target_call.translate_body_errors(self.target_id):
            if self.http_response.chunked:
                yield from self.http_response.read_chunked(CHUNK_BYTES)
            else:
                while data := self.http_response.read1(CHUNK_BYTES):
                    yield data
                self.check_length()
        self.complete = True

    def check_length(self) -> None:
        """Raise `ProtocolError` for a body shorter than Content-Length."""
        missing_bytes = self.http_response.length_remaining
        if missing_bytes:
            raise urllib3.exceptions.ProtocolError(
                f'{missing_bytes} bytes missing'
            )

    def body(self) -> bytes:
        """Return the complete body; raises `TargetError`."""
        return b''.join(self.chunks())
