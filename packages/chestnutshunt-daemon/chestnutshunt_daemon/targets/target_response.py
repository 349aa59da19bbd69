"""A target's answer, from its head to the end of its body."""

from collections.abc import Iterator

import attrs
import urllib3

from chestnutshunt_daemon import target_call
from chestnutshunt_daemon.targets import response_head

__all__ = ['TargetResponse']

CHUNK_BYTES = 65_536


@attrs.define(eq=False)
class TargetResponse:
    """A target's answer, whose body is still to be read.

    Attributes
    ----------
    head : ResponseHead
        What its head says.
    headers : list of (str, str)
        Headers that may be passed on.
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
            The body broke off or fell silent.
        """
        with target_call.body_failures(self.target_id):
            if self.http_response.chunked:
                yield from self.http_response.read_chunked(CHUNK_BYTES)
            else:
                while data := self.http_response.read1(CHUNK_BYTES):
                    yield data
                self.check_length()
        self.complete = True

    def check_length(self) -> None:
        """Raise `ProtocolError` for a body shorter than announced."""
        missing = self.http_response.length_remaining
        if missing:
            raise urllib3.exceptions.ProtocolError(f'{missing} bytes missing')

    def body(self) -> bytes:
        """Return the whole body; raises `TargetError`."""
        return b''.join(self.chunks())
