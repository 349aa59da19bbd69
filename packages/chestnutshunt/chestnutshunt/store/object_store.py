"""Base class of stores of versioned objects."""

import abc
from typing import Any

from returns import result

from chestnutshunt import errors
from chestnutshunt.store import listing
from chestnutshunt.store import stored_object

__all__ = ['ABSENT', 'StoreError', 'ObjectStore']

# Expected version of a conditional write that creates an object.
ABSENT = 0

# Type of the failure that a call returns.
StoreError = errors.ChestnutshuntError


class ObjectStore(abc.ABC):
    """Conditional writes and consistent reads of objects.

    Every call returns a ``Result``. The failures are `PlatformUnavailable`
    (nothing has changed), `PlatformUncertain` (the write may have taken
    effect, or may still do so) and `Conflict` (the object has another
    version than the one expected).
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
        """Write the status of an object if its version is `expected`.

        The status reports on an object whose value belongs to an operator;
        it leaves the value as it is.
        """

    @abc.abstractmethod
    def delete(
        self, kind: str, name: str, expected: int
    ) -> result.Result[int, StoreError]:
        """Delete an object if its version is `expected`.

        Returns
        -------
        Result
            Revision of the deletion.
        """
