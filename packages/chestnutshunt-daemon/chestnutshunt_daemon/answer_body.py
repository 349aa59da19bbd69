"""WSGI body iterator of a response."""

from collections.abc import Iterator
import contextlib
import errno
import logging

from chestnutshunt import errors
from chestnutshunt import steps

__all__ = ['AnswerBody']

LOG = logging.getLogger(__name__)


class AnswerBody:
    """Iterates over a response body; WSGI servers always close it.

    Parameters
    ----------
    parts : iterator of bytes
        Chunks of the body.
    stack : ExitStack
        Resources of the request, released by `close`.
    """

    def __init__(
        self, parts: Iterator[bytes], stack: contextlib.ExitStack
    ) -> None:
        self.parts = parts
        self.stack = stack

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body; an error truncates the response visibly.

        On ConnectionResetError the server closes the connection without the
        terminating chunk, so that the client sees an incomplete body.
        """
        try:
            for chunk in self.parts:
                steps.reach('answer.passing')
                yield chunk
        except errors.ChestnutshuntError as exc:
            LOG.warning('Response truncated: %s', exc)
            raise ConnectionResetError(errno.ECONNRESET, str(exc)) from exc

    def close(self) -> None:
        """Release the resources of the request."""
        self.stack.close()
