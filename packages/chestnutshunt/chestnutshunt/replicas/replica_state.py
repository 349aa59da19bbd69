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
    reported_running, reported_waiting : int
        Load that the target told last.
    reported_at : float
        Monotonic time in seconds of that.
    versions : dict of str to int
        Weight versions seen in answers.
    full_until : float
        Monotonic time in seconds until which it is taken to be full, since
        it refused a request.
    event_interval_s : float
        Mean seconds between two events of a stream; 0 if unknown.
    """

    breaker: breaker.Breaker
    running: int = 0
    reported_running: int = 0
    reported_waiting: int = 0
    reported_at: float = -1e9
    versions: dict[str, int] = attrs.field(factory=dict)
    full_until: float = 0.0
    event_interval_s: float = 0.0
