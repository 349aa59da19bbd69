"""Base type of what targets speak."""

import abc
from collections.abc import Mapping

from chestnutshunt_daemon.targets import attempt_context
from chestnutshunt_daemon.targets import response_head

__all__ = ['TargetCodec']


class TargetCodec(abc.ABC):
    """Encodes what the system adds to a request; decodes an answer's head.

    Attributes
    ----------
    reserved_headers : frozenset of str
        Names, in lower case, that the system sets itself whatever the caller
        sent.
    """

    reserved_headers: frozenset[str] = frozenset()

    @abc.abstractmethod
    def encode_headers(
        self, facts: attempt_context.AttemptContext
    ) -> dict[str, str]:
        """Return the headers that the system sets itself."""

    @abc.abstractmethod
    def decode_head(
        self, status: int, headers: Mapping[str, str]
    ) -> response_head.ResponseHead:
        """Decode what the head of an answer says."""

    @abc.abstractmethod
    def decode_event_version(self, line: str) -> int | None:
        """Return the weight version that a line of an event names."""
