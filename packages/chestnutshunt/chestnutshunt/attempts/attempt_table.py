"""Running and recent requests of one daemon, by identity."""

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
    """Bounded table that lets a resend join what is already running.

    Parameters
    ----------
    clock : Clock
        Clock for the age of finished answers.
    retention_s : float
        How long a finished answer is kept, in seconds.
    """

    def __init__(self, clock: clock.Clock, retention_s: float = 30.0) -> None:
        self.clock = clock
        self.retention_s = retention_s
        self.attempts: dict[str, attempt.Attempt] = {}
        self.finished: dict[str, attempt.Attempt] = {}
        self.finished_bytes = 0
        self.abandoned: dict[str, None] = {}
        self.lock = threading.Lock()

    def join_or_start(
        self, identity: str, body: bytes = b''
    ) -> tuple[attempt.Attempt, bool]:
        """Return the attempt of an identity, and whether it is new."""
        with self.lock:
            self.expire()
            held = self.attempts.get(identity) or self.finished.get(identity)
            if held is not None:
                return held, False
            made = attempt.Attempt(identity, secrets.token_hex(8), body=body)
            self.attempts[identity] = made
            return made, True

    def find(self, identity: str, nonce: str) -> attempt.Attempt | None:
        """Return one execution if it is still known here."""
        with self.lock:
            held = self.attempts.get(identity) or self.finished.get(identity)
        return held if held is not None and held.nonce == nonce else None

    def close(self, ended: attempt.Attempt) -> None:
        """Keep a finished answer for resends, or drop a failed one."""
        with self.lock:
            self.attempts.pop(ended.identity, None)
            failed_unsent = (
                ended.error is not None
                and ended.state is progress.Progress.NOT_SENT
            )
            if failed_unsent or ended.overflow:
                return
            self.finished[ended.identity] = ended
            self.finished_bytes += ended.kept_bytes
            self.expire()

    def expire(self) -> None:
        """Drop finished answers that are too old or too many."""
        oldest = self.clock.monotonic() - self.retention_s
        while self.finished:
            identity, held = next(iter(self.finished.items()))
            within = (
                self.finished_bytes <= MAX_FINISHED_BYTES
                and len(self.finished) <= MAX_FINISHED_COUNT
            )
            if held.finished_at >= oldest and within:
                return
            del self.finished[identity]
            self.finished_bytes -= held.kept_bytes

    def abandon(self, nonce: str) -> None:
        """Promise that an execution was never sent and never will be."""
        with self.lock:
            self.abandoned[nonce] = None
            while len(self.abandoned) > MAX_ABANDONED_COUNT:
                del self.abandoned[next(iter(self.abandoned))]

    def is_abandoned(self, nonce: str) -> bool:
        """Tell whether an execution was abandoned before it was sent."""
        with self.lock:
            return nonce in self.abandoned
