"""A target's answer, from its head to the end of its body."""

from collections.abc import Iterator

import attrs
import urllib3

from chestnutshunt_daemon import target_call
from chestnutshunt_daemon.targets import answer_facts

__all__ = ['Answer']

CHUNK_BYTES = 65_536


@attrs.define(eq=False)
class Answer:
    """A target's answer, whose body is still to be read.

    Attributes
    ----------
    facts : AnswerFacts
        What its head says.
    headers : list of (str, str)
        Headers that may be passed on.
    whole : bool
        True once the body was read to its end.
    """

    facts: answer_facts.AnswerFacts
    headers: list[tuple[str, str]]
    response: urllib3.BaseHTTPResponse
    name: str
    whole: bool = False

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        TargetError
            The body broke off or fell silent.
        """
        with target_call.translate_body_errors(self.name):
            if self.response.chunked:
                yield from self.response.read_chunked(CHUNK_BYTES)
            else:
                while data := self.response.read1(CHUNK_BYTES):
                    yield data
                self.check_length()
        self.whole = True

    def check_length(self) -> None:
        """Raise `ProtocolError` for a body shorter than announced."""
        missing = self.response.length_remaining
        if missing:
            raise urllib3.exceptions.ProtocolError(f'{missing} bytes missing')

    def body(self) -> bytes:
        """Return the whole body; raises `TargetError`."""
        return b''.join(self.chunks())
