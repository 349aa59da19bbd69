"""Base type of what callers speak."""

import abc

from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_page
from chestnutshunt_daemon.callers import calls

__all__ = ['CallerCodec']


class CallerCodec(abc.ABC):
    """Decodes callers' requests and encodes answers about jobs.

    Header names are given in lower case.
    """

    @abc.abstractmethod
    def decode_call(
        self, method: str, target: str, headers: dict[str, str]
    ) -> calls.Call:
        """Tell what a request asks for."""

    @abc.abstractmethod
    def key(self, headers: dict[str, str]) -> str:
        """Return the key that a request carries, or an empty text."""

    @abc.abstractmethod
    def request_id(self, headers: dict[str, str]) -> str:
        """Return the id that the caller gave its request."""

    @abc.abstractmethod
    def remaining_s(self, headers: dict[str, str]) -> float | None:
        """Return the seconds the caller waits, if it said so."""

    @abc.abstractmethod
    def decode_job(
        self, body: bytes, job_id: str, host: str, path: str, now: float
    ) -> job.Job:
        """Build a job from its submission; raises `BadRequest`."""

    @abc.abstractmethod
    def encode_page(self, page: job_page.JobPage) -> bytes:
        """Return the answer that lists results."""
