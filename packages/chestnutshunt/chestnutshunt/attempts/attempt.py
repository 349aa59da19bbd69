"""Execution of a request that duplicates of the request can join."""

from collections.abc import Iterator
import threading

import attrs

from chestnutshunt.attempts import answer_head
from chestnutshunt.attempts import progress
from chestnutshunt import errors

__all__ = ['Attempt']

# Larger answers are not kept for duplicate requests.
MAX_KEPT_BYTES = 1_048_576


@attrs.define(eq=False)
class Attempt:
    """One execution of a request, with the answer received so far.

    One thread publishes the answer and any number of threads may read it.

    Attributes
    ----------
    identity : str
        Digest of the request, equal for its duplicates.
    nonce : str
        Unique to this execution.
    state : Progress
        How far the execution has got.
    head : AnswerHead or None
        Head of the answer; None until the answer has begun.
    done : bool
        True once the answer is complete or has failed.
    error : ChestnutshuntError or None
        Cause of a failure.
    body_digest : bytes
        Digest of the request's body, which a duplicate must repeat.
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
    body_digest: bytes = b''
    condition: threading.Condition = attrs.field(factory=threading.Condition)

    def advance(self, state: progress.Progress) -> None:
        """Advance the state; an earlier state is ignored."""
        self.state = self.state.furthest(state)

    def publish_head(self, head: answer_head.AnswerHead) -> None:
        """Publish the head of the answer."""
        with self.condition:
            self.head = head
            self.condition.notify_all()

    def add_chunk(self, chunk: bytes) -> None:
        """Publish a chunk of the body.

        An answer that outgrows `MAX_KEPT_BYTES` is dropped for its readers.
        """
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
            Monotonic time in seconds at which retention begins.
        error : ChestnutshuntError, optional
            Why the answer is incomplete.
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
        """Wait for the head of the answer on behalf of a duplicate.

        Raises
        ------
        ChestnutshuntError
            The execution failed, its answer is too large to keep, or it has
            not begun after `timeout` seconds.
        """
        self.wait_begun(timeout)
        if self.head is not None and not self.overflow:
            return self.head
        raise self.join_error()

    def stream_body(
        self, timeout: float, heartbeat_s: float | None = None
    ) -> Iterator[bytes]:
        """Yield the chunks of the body from its start, as they arrive.

        Parameters
        ----------
        timeout : float
            Maximum time without a new chunk, in seconds.
        heartbeat_s : float, optional
            Seconds without a new chunk after which an empty one is yielded,
            so that a remote reader can tell a slow answer from a lost
            connection.

        Raises
        ------
        Truncated
            No chunk arrived for `timeout` seconds.
        ChestnutshuntError
            The execution failed, or its answer is too large to keep.
        """
        position = 0
        silent_s = 0.0
        while True:
            wait_s = min(heartbeat_s or timeout, timeout - silent_s)
            ready, ended = self.wait_chunks(position, wait_s)
            position += len(ready)
            yield from ready
            if ended:
                break
            silent_s = 0.0 if ready else silent_s + wait_s
            if silent_s >= timeout:
                raise errors.Truncated(
                    f'The joined answer sent no data for {timeout:.1f} s.'
                )
            if not ready:
                yield b''
        if self.error is not None:
            raise self.error

    def wait_chunks(
        self, position: int, timeout: float
    ) -> tuple[list[bytes], bool]:
        """Return new chunks, and whether they complete the body."""
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
        """Return the error for a duplicate that cannot share the answer."""
        if self.error is not None:
            return self.error
        if self.overflow:
            return errors.OutcomeUnknown(
                'The answer is too large to keep for a duplicate request.'
            )
        return errors.OutcomeUnknown('The answer did not begin in time.')
