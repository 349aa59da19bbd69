"""Whether the requests of a route may be repeated."""

import enum

__all__ = ['RouteKind']


class RouteKind(enum.Enum):
    """Delivery guarantees of routes."""

    IDEMPOTENT = 'idempotent'
    """Requests may run more than once."""

    ONCE = 'once'
    """Requests run at most once for each attempt of a caller."""

    STREAM = 'stream'
    """Answered by a stream of events; runs at most once unless resumable."""

    JOBS = 'jobs'
    """Accepts batch jobs."""
