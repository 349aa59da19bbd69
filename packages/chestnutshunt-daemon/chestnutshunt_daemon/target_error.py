"""Error of one attempt at one target."""

from chestnutshunt.attempts import progress
from chestnutshunt import errors

__all__ = ['TargetError']


class TargetError(errors.TargetFailed):
    """An attempt failed at a target.

    Attributes
    ----------
    attempt_progress : Progress
        Progress of the attempt when it failed.
    crashed : bool
        True if the target closed the connection after the request was sent.
    was_reset : bool
        True if it did so with a reset: it may have crashed, or have more
        connections than it takes.
    stale : bool
        True if a pooled connection was closed after the request was sent on
        it. A new connection to the target tells why: the connection had been
        idle for too long, or the target crashed.
    unreachable : bool
        True if no connection to the target could be opened.
    moved : bool
        True if the request moves away from a target that is about to be
        reclaimed.
    withheld : bool
        True if this daemon did not send the request, as the target's rate
        limit does not allow it, the target leaves, or it can't be written.
    """

    def __init__(
        self,
        message: str,
        reached: progress.Progress,
        crashed: bool = False,
        stale: bool = False,
        moved: bool = False,
        withheld: bool = False,
        unreachable: bool = False,
        was_reset: bool = False,
    ) -> None:
        super().__init__(message)
        self.attempt_progress = reached
        self.crashed = crashed
        self.stale = stale
        self.moved = moved
        self.withheld = withheld
        self.unreachable = unreachable
        self.was_reset = was_reset
