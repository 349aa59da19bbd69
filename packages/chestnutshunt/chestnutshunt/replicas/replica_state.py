"""What this daemon knows of one target beyond its registration."""

import attrs

from chestnutshunt.routing import breaker

__all__ = ['ReplicaState']


@attrs.define
class ReplicaState:
    """Load, health and versions of one start of a target.

    Attributes
    ----------
    breaker : Breaker
        Ejects the target after failures.
    running : int
        Requests that this daemon has there.
    told_running, told_waiting : int
        Load that the target told last.
    told_at : float
        Monotonic time in seconds of that.
    versions : dict of str to int
        Weight versions seen in answers.
    full_until : float
        Monotonic time in seconds until which it is taken to be full, since
        it refused a request.
    event_s : float
        Mean seconds between two events of a stream; 0 if unknown.
    """

    breaker: breaker.CircuitBreaker
    running: int = 0
    told_running: int = 0
    told_waiting: int = 0
    told_at: float = -1e9
    versions: dict[str, int] = attrs.field(factory=dict)
    full_until: float = 0.0
    event_s: float = 0.0
