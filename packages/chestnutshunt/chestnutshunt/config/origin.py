"""The effective value of a setting and the node that sets it."""

from typing import Any

import attrs

__all__ = ['DEFAULT', 'Origin']

DEFAULT = '(default)'


@attrs.frozen
class Origin:
    """Effective value of a setting and its source.

    Attributes
    ----------
    value : object
        Effective value.
    path : str
        Path of the node that sets the value, or `DEFAULT`.
    """

    value: Any
    path: str
