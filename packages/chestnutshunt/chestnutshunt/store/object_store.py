"""Base type of stores of versioned objects."""

import abc
from typing import Any

from returns import result

from chestnutshunt import errors
from chestnutshunt.store import listing
from chestnutshunt.store import stored_object

__all__ = ['ABSENT', 'StoreError', 'ObjectStore']

ABSENT = 0
"""Version that a conditional write expects of an object to be created."""

StoreError = errors.ChestnutshuntError
"""What a failed call returns."""


class ObjectStore(abc.ABC):
    """Conditional writes and consistent reads of objects.

    Every call returns a ``Result``; failures are `PlatformUnavailable`
    (nothing changed), `PlatformUncertain` (the write may have been made, or
    may still be) and `Conflict`.
    """

    @abc.abstractmethod
    def get(
        self, kind: str, name: str
    ) -> result.Result[stored_object.StoredObject | None, StoreError]:
        """Read one object; ``None`` when there is none."""

    @abc.abstractmethod
    def list_kind(
        self, kind: str
    ) -> result.Result[listing.Listing, StoreError]:
        """List all objects of a kind."""

    @abc.abstractmethod
    def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, StoreError]:
        """Write an object if its version is `expected`, 0 for absent."""

    @abc.abstractmethod
    def put_status(
        self, kind: str, name: str, status: dict[str, Any], expected: int
    ) -> result.Result[stored_object.StoredObject, StoreError]:
        """Write what the system says about an operator's object."""

    @abc.abstractmethod
    def delete(
        self, kind: str, name: str, expected: int
    ) -> result.Result[int, StoreError]:
        """Delete an object if its version is `expected`."""
