"""Failure of one attempt at one target."""

from chestnutshunt.attempts import progress
from chestnutshunt import errors

__all__ = ['TargetError']


class TargetError(errors.TargetFailed):
    """An attempt failed at a target.

    Attributes
    ----------
    attempt_progress : Progress
        How far the attempt had got.
    crashed : bool
        True if the connection was closed on a request that had been sent.
    stale : bool
        True if a kept connection turned out to be closed.
    moved : bool
        True if the request leaves a target that is about to be reclaimed.
    """

    def __init__(
        self,
        message: str,
        reached: progress.Progress,
        crashed: bool = False,
        stale: bool = False,
        moved: bool = False,
    ) -> None:
        super().__init__(message)
        self.attempt_progress = reached
        self.crashed = crashed
        self.stale = stale
        self.moved = moved
