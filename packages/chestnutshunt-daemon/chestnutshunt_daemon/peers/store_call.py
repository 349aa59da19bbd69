"""A call of the store, wherever it is made."""

from typing import Any

import attrs

__all__ = ['StoreCall']


@attrs.frozen
class StoreCall:
    """One call of an `ObjectStore`.

    Attributes
    ----------
    operation : str
        Name of the method.
    kind, name : str
        Object, or the kind to list.
    value : dict or None
        Value or status to write.
    expected : int
        Version that the object has to have.
    """

    operation: str
    kind: str
    name: str = ''
    value: dict[str, Any] | None = None
    expected: int = 0
