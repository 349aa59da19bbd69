"""The calls that callers can make, decoded from their requests."""

import attrs

__all__ = ['Call', 'EndJob', 'Forward', 'ReadItem', 'ReadJob']


@attrs.frozen
class Call:
    """Base class of calls."""


@attrs.frozen
class Forward(Call):
    """Forwards the request to a target, or submits a job on a job route."""


@attrs.frozen
class ReadJob(Call):
    """Lists the results of a job from a position on."""

    job_id: str
    after: int
    wait_s: float


@attrs.frozen
class ReadItem(Call):
    """Reads the body of an item of a job."""

    job_id: str
    item_id: str


@attrs.frozen
class EndJob(Call):
    """Ends a job; no more results are wanted."""

    job_id: str
