"""Body of an answer, as the server reads it."""

from collections.abc import Iterator
import contextlib
import errno
import logging

from chestnutshunt import errors
from chestnutshunt import steps

__all__ = ['AnswerBody']

LOG = logging.getLogger(__name__)


class AnswerBody:
    """Body of an answer, closed by the server in every case."""

    def __init__(
        self, parts: Iterator[bytes], stack: contextlib.ExitStack
    ) -> None:
        self.parts = parts
        self.stack = stack

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body; an error cuts the answer off visibly.

        The server closes a connection that is reset without ending the body.
        """
        try:
            for chunk in self.parts:
                steps.reach('answer.passing')
                yield chunk
        except errors.ChestnutshuntError as exc:
            LOG.warning('Answer cut off: %s', exc)
            raise ConnectionResetError(errno.ECONNRESET, str(exc)) from exc

    def close(self) -> None:
        """End the request and count it out."""
        self.stack.close()
