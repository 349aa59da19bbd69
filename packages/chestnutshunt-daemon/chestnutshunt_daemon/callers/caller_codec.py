"""Interface of the codec for callers' requests."""

import abc
from collections.abc import Callable
from typing import BinaryIO

from chestnutshunt.jobs import job
from chestnutshunt.jobs import job_page
from chestnutshunt_daemon.callers import calls
from chestnutshunt_daemon.targets import stream_position

__all__ = ['CallerCodec']


class CallerCodec(abc.ABC):
    """Decodes callers' requests and encodes lists of results.

    Header names are passed in lower case.
    """

    @abc.abstractmethod
    def decode_call(
        self, method: str, target: str, headers: dict[str, str]
    ) -> calls.Call:
        """Decode the call that a request makes."""

    @abc.abstractmethod
    def key(self, headers: dict[str, str]) -> str:
        """Return the API key of a request, or an empty string."""

    @abc.abstractmethod
    def request_id(self, headers: dict[str, str]) -> str:
        """Return the id that the caller set, or an empty string."""

    @abc.abstractmethod
    def remaining_s(self, headers: dict[str, str]) -> float | None:
        """Return the caller's timeout in seconds, ``None`` if not set."""

    @abc.abstractmethod
    def stream_position(
        self, headers: dict[str, str]
    ) -> stream_position.StreamPosition:
        """Return where the caller takes a stream up again, if it does."""

    @abc.abstractmethod
    def decode_job(
        self,
        body: BinaryIO,
        job_id: str,
        host: str,
        path: str,
        now: float,
        cover: Callable[[int], None] = lambda size: None,
    ) -> job.Job:
        """Decode the body of a submitted job while it is read.

        Parameters
        ----------
        body : file object
            Where it is read from, once.
        job_id, host, path : str
            Id of the job, and the route of its submission.
        now : float
            Unix time of the submission in seconds.
        cover : callable, optional
            Called with the memory in bytes of the items so far.

        Raises
        ------
        BadRequest
            The body is not a valid job.
        """

    @abc.abstractmethod
    def encode_page(self, page: job_page.JobPage) -> bytes:
        """Encode the body of a response that lists results."""
