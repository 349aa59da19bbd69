"""What a daemon has observed of a target beyond its registration."""

import attrs

from chestnutshunt.routing import breaker

__all__ = ['ReplicaState']


@attrs.define
class ReplicaState:
    """Load, health and weight versions of a target process.

    Attributes
    ----------
    breaker : CircuitBreaker
        Circuit breaker that ejects the target after failures.
    running : int
        Requests of this daemon that are in flight to the target.
    reported_running, reported_waiting : int
        Running and waiting requests that the target last reported.
    reported_at : float
        Monotonic time in seconds of that report.
    versions : dict of str to int
        Weight version by model, from registrations, responses and orders.
    versions_at : dict of str to float
        Monotonic time in seconds at which each of them was learned.
    full_until : float
        Monotonic time in seconds until which the target is considered full
        because it refused a request.
    event_interval_s : float
        Moving average of the seconds between two events of a stream; 0 if
        unknown.
    event_at : float
        Monotonic time in seconds of the last event in that average.
    loading_until : float
        Monotonic time in seconds until which the target loads weights, as
        far as is known.
    """

    breaker: breaker.CircuitBreaker
    running: int = 0
    reported_running: int = 0
    reported_waiting: int = 0
    reported_at: float = -1e9
    versions: dict[str, int] = attrs.field(factory=dict)
    versions_at: dict[str, float] = attrs.field(factory=dict)
    full_until: float = 0.0
    event_interval_s: float = 0.0
    event_at: float = -1e9
    loading_until: float = 0.0
