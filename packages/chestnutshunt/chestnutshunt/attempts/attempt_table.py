"""Running and recently finished requests of one daemon."""

import secrets
import threading

from chestnutshunt.attempts import attempt
from chestnutshunt.attempts import progress
from chestnutshunt import clock

__all__ = ['AttemptTable']

MAX_FINISHED_BYTES = 33_554_432
MAX_FINISHED_COUNT = 20_000
MAX_ABANDONED_COUNT = 100_000


class AttemptTable:
    """Bounded table of executions by the identity of their request.

    A duplicate request joins the execution of the first. Thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock for the age of finished answers.
    retention_s : float
        Seconds for which a finished answer is kept.
    """

    def __init__(self, clock: clock.Clock, retention_s: float = 30.0) -> None:
        self.clock = clock
        self.retention_s = retention_s
        self.attempts: dict[str, attempt.Attempt] = {}
        self.finished_attempts: dict[str, attempt.Attempt] = {}
        self.finished_bytes = 0
        self.abandoned_nonces: dict[str, None] = {}
        self.lock = threading.Lock()

    def join_or_start(
        self, identity: str, body_digest: bytes = b''
    ) -> tuple[attempt.Attempt, bool]:
        """Return the attempt for an identity, and whether it is new."""
        with self.lock:
            self.expire()
            found = self.attempts.get(identity) or self.finished_attempts.get(
                identity
            )
            if found is not None:
                return found, False
            created = attempt.Attempt(
                identity, secrets.token_hex(8), body_digest=body_digest
            )
            self.attempts[identity] = created
            return created, True

    def find(self, identity: str, nonce: str) -> attempt.Attempt | None:
        """Return an execution, or None if it is not in the table."""
        with self.lock:
            found = self.attempts.get(identity) or self.finished_attempts.get(
                identity
            )
        return found if found is not None and found.nonce == nonce else None

    def close(self, ended: attempt.Attempt) -> None:
        """Keep a finished attempt for duplicates.

        Attempts that failed before they were sent, and answers that are too
        large, are dropped.
        """
        with self.lock:
            self.attempts.pop(ended.identity, None)
            failed_unsent = (
                ended.error is not None
                and ended.state is progress.Progress.NOT_SENT
            )
            if failed_unsent or ended.overflow:
                return
            self.finished_attempts[ended.identity] = ended
            self.finished_bytes += ended.kept_bytes
            self.expire()

    def expire(self) -> None:
        """Drop finished attempts beyond the bounds; needs the lock."""
        oldest = self.clock.monotonic() - self.retention_s
        while self.finished_attempts:
            identity, found = next(iter(self.finished_attempts.items()))
            within_bounds = (
                self.finished_bytes <= MAX_FINISHED_BYTES
                and len(self.finished_attempts) <= MAX_FINISHED_COUNT
            )
            if found.finished_at >= oldest and within_bounds:
                return
            del self.finished_attempts[identity]
            self.finished_bytes -= found.kept_bytes

    def abandon(self, nonce: str) -> None:
        """Record that an execution was not sent and never will be."""
        with self.lock:
            self.abandoned_nonces[nonce] = None
            while len(self.abandoned_nonces) > MAX_ABANDONED_COUNT:
                del self.abandoned_nonces[next(iter(self.abandoned_nonces))]

    def is_abandoned(self, nonce: str) -> bool:
        """Return whether an execution was abandoned before it was sent."""
        with self.lock:
            return nonce in self.abandoned_nonces
