"""What the head of a target's answer says."""

import attrs

__all__ = ['ResponseHead']


@attrs.frozen
class ResponseHead:
    """Facts of one answer.

    Attributes
    ----------
    status : int
        HTTP status.
    request_id : str
        Request that it answers; empty if it does not say.
    signature : str
        Proof that the target made it; empty if there is none.
    no_target : bool
        True if the target says that it did not run the request.
    running, waiting : int or None
        Load of the target, if it tells.
    version : int or None
        Weight version that generates the answer.
    idle_s : float or None
        Seconds for which the target keeps an idle connection.
    """

    status: int
    request_id: str
    signature: str
    not_run: bool
    running: int | None = None
    waiting: int | None = None
    version: int | None = None
    idle_s: float | None = None
