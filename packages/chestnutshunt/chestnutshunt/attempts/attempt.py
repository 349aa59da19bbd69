"""A running or finished request that resends can join."""

from collections.abc import Iterator
import threading

import attrs

from chestnutshunt.attempts import answer_head
from chestnutshunt.attempts import progress
from chestnutshunt import errors

__all__ = ['Attempt']

MAX_KEPT_BYTES = 1_048_576
"""Largest answer that is kept for resends."""


@attrs.define(eq=False)
class Attempt:
    """One execution of a request, with its answer so far.

    Attributes
    ----------
    identity : str
        Digest that equals that of a resend.
    nonce : str
        Unique to this execution.
    state : Progress
        How far the execution has got.
    head : AnswerHead or None
        Set once the answer has begun.
    done : bool
        True once the answer is whole or has failed.
    error : ChestnutshuntError or None
        Why it failed.
    body : bytes
        Body of the request, which a resend must repeat.
    """

    identity: str
    nonce: str
    state: progress.Progress = progress.Progress.NOT_SENT
    head: answer_head.AnswerHead | None = None
    chunks: list[bytes] = attrs.field(factory=list)
    kept_bytes: int = 0
    overflow: bool = False
    done: bool = False
    error: errors.ChestnutshuntError | None = None
    finished_at: float = 0.0
    readers: int = 0
    body: bytes = attrs.field(default=b'', repr=False)
    condition: threading.Condition = attrs.field(factory=threading.Condition)

    def advance(self, state: progress.Progress) -> None:
        """Note that the execution has got further."""
        self.state = self.state.furthest(state)

    def publish_head(self, head: answer_head.AnswerHead) -> None:
        """Publish the head of the answer."""
        with self.condition:
            self.head = head
            self.condition.notify_all()

    def add_chunk(self, chunk: bytes) -> None:
        """Publish a part of the answer's body."""
        with self.condition:
            self.kept_bytes += len(chunk)
            if self.kept_bytes > MAX_KEPT_BYTES:
                self.overflow = True
                self.chunks.clear()
            else:
                self.chunks.append(chunk)
            if self.readers:
                self.condition.notify_all()

    def finish(
        self, now: float, error: errors.ChestnutshuntError | None = None
    ) -> None:
        """Publish the end of the answer.

        Parameters
        ----------
        now : float
            Monotonic time in seconds, from which the answer is kept.
        error : ChestnutshuntError, optional
            Why the answer is not whole.
        """
        with self.condition:
            self.done = True
            self.error = error
            self.finished_at = now
            self.condition.notify_all()

    def wait_begun(self, timeout: float) -> bool:
        """Wait for the head or the end; return False after `timeout` s."""
        with self.condition:
            return bool(
                self.condition.wait_for(
                    lambda: self.head or self.done, timeout
                )
            )

    def wait_head(self, timeout: float) -> answer_head.AnswerHead:
        """Wait for the head of the answer as a joiner.

        Raises
        ------
        ChestnutshuntError
            The execution failed, or its answer is too large to share.
        """
        self.wait_begun(timeout)
        if self.head is not None and not self.overflow:
            return self.head
        raise self.join_error()

    def stream_body(
        self, timeout: float, beat: float | None = None
    ) -> Iterator[bytes]:
        """Yield the body from its start, as it comes.

        Parameters
        ----------
        timeout : float
            Longest silence in seconds.
        beat : float, optional
            Seconds of silence after which an empty part is yielded, for a
            reader that has to tell a silent answer from a lost connection.
        """
        position = 0
        silent = 0.0
        while True:
            pause = min(beat or timeout, timeout - silent)
            ready, ended = self.wait_chunks(position, pause)
            position += len(ready)
            yield from ready
            if ended:
                break
            silent = 0.0 if ready else silent + pause
            if silent >= timeout:
                raise errors.Truncated('The joined answer fell silent.')
            if not ready:
                yield b''
        if self.error is not None:
            raise self.error

    def wait_chunks(
        self, position: int, timeout: float
    ) -> tuple[list[bytes], bool]:
        """Return new parts of the body, and whether they are the last."""
        with self.condition:
            self.readers += 1
            self.condition.wait_for(
                lambda: (
                    len(self.chunks) > position or self.done or self.overflow
                ),
                timeout,
            )
            self.readers -= 1
            if self.overflow:
                raise self.join_error()
            ready = self.chunks[position:]
            ended = self.done and position + len(ready) == len(self.chunks)
            return ready, ended

    def join_error(self) -> errors.ChestnutshuntError:
        """Return the error a joiner gets when there is no answer to share."""
        if self.error is not None:
            return self.error
        if self.overflow:
            return errors.OutcomeUnknown('The answer was too large to keep.')
        return errors.OutcomeUnknown('The answer did not come in time.')
