"""Arguments of a call to the store, made directly or through a peer."""

from typing import Any

import attrs

__all__ = ['StoreCall']


@attrs.frozen
class StoreCall:
    """One call to an `ObjectStore`.

    Attributes
    ----------
    operation : str
        Name of the method of `ObjectStore`.
    kind, name : str
        Kind and name of the object; `name` is empty to list a kind.
    value : dict or None
        Value or status to write.
    expected : int
        Version that the object must have for a write.
    """

    operation: str
    kind: str
    name: str = ''
    value: dict[str, Any] | None = None
    expected: int = 0
