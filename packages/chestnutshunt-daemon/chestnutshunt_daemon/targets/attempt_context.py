"""Values that are sent to a target with a request."""

import attrs

__all__ = ['AttemptContext']


@attrs.frozen
class AttemptContext:
    """Values of one attempt, sent as headers.

    Attributes
    ----------
    request_id : str
        Id that the caller gave the request.
    replica_id : str
        Id of the target instance; no other may run the request.
    remaining_s : float
        Seconds after which the response is no longer needed.
    workspace : str
        Workspace of the caller's key; empty if there is none.
    resume_after : int or None
        Id of the last event that is already known; the target resumes after
        it.
    """

    request_id: str
    replica_id: str
    remaining_s: float
    workspace: str = ''
    resume_after: int | None = None
