"""Status and metadata from the head of a target's response."""

import attrs

__all__ = ['ResponseHead']


@attrs.frozen
class ResponseHead:
    """Decoded head of one response.

    Attributes
    ----------
    status : int
        HTTP status.
    request_id : str
        Id of the request that is answered; empty if not given.
    signature : str
        Proof that the target made the response; empty if not given.
    not_run : bool
        True if the target says that it did not run the request.
    other_process : bool
        True if another process than the one that was named has taken the
        target's address.
    leaving : bool
        True if the target says that it is shutting down.
    running, waiting : int or None
        Requests that run and wait at the target, if it reports them.
    version : int or None
        Weight version that generates the response.
    idle_s : float or None
        Seconds for which the target keeps an idle connection open.
    rate_limit : float or None
        Requests a second that the target takes from all daemons together;
        ``None`` if it names no limit.
    """

    status: int
    request_id: str
    signature: str
    not_run: bool
    other_process: bool = False
    leaving: bool = False
    running: int | None = None
    waiting: int | None = None
    version: int | None = None
    idle_s: float | None = None
    rate_limit: float | None = None
