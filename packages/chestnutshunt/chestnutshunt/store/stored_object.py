"""An object as the platform stores it."""

from typing import Any

import attrs

__all__ = ['StoredObject']


@attrs.frozen
class StoredObject:
    """One version of an object.

    Attributes
    ----------
    kind : str
        Kind of the object, such as ``job``.
    name : str
        Name, unique within the kind.
    version : int
        Store-wide revision of the write that created this version.
    value : dict
        JSON value; empty if the object is deleted.
    deleted : bool
        True for the tombstone by which a watch reports a deletion.
    status : dict
        What the system reports on an object that belongs to an operator.
    """

    kind: str
    name: str
    version: int
    value: dict[str, Any]
    deleted: bool = False
    status: dict[str, Any] = attrs.field(factory=dict)

    @property
    def key(self) -> tuple[str, str]:
        """Kind and name, which identify the object."""
        return (self.kind, self.name)
