"""What the system tells a target beside the caller's request."""

import attrs

__all__ = ['AttemptContext']


@attrs.frozen
class AttemptContext:
    """Facts of one attempt.

    Attributes
    ----------
    request_id : str
        Id the caller gave its request.
    replica_id : str
        The only start of a target that may run it.
    remaining_s : float
        Seconds after which nobody waits for the answer any more.
    workspace : str
        Workspace of the caller's key; empty if there is none.
    resume_after : int or None
        Last event that is known; the target goes on after it.
    """

    request_id: str
    replica_id: str
    remaining_s: float
    workspace: str = ''
    resume_after: int | None = None
