"""Interface of the codec for requests to targets."""

import abc
from collections.abc import Mapping

from chestnutshunt_daemon.targets import attempt_context
from chestnutshunt_daemon.targets import response_head

__all__ = ['TargetCodec']


class TargetCodec(abc.ABC):
    """Encodes the headers added to requests; decodes response heads.

    Attributes
    ----------
    reserved_headers : frozenset of str
        Header names, in lower case, that callers cannot set: their values are
        dropped and replaced by those of the daemon.
    position_headers : frozenset of str
        Header names, in lower case, that tell where a stream goes on.
    """

    reserved_headers: frozenset[str] = frozenset()
    position_headers: frozenset[str] = frozenset()

    @abc.abstractmethod
    def encode_headers(
        self, facts: attempt_context.AttemptContext
    ) -> dict[str, str]:
        """Return the headers that the daemon adds to an attempt."""

    @abc.abstractmethod
    def decode_head(
        self, status: int, headers: Mapping[str, str]
    ) -> response_head.ResponseHead:
        """Decode the status and the headers of a response."""

    @abc.abstractmethod
    def decode_event_version(self, line: str) -> int | None:
        """Return the weight version named by a line, ``None`` if none is."""
