"""Objects of a kind as of one store revision."""

import attrs

from chestnutshunt.store import stored_object

__all__ = ['Listing']


@attrs.frozen
class Listing:
    """Result of a list or a watch.

    Attributes
    ----------
    revision : int
        Store revision; every write up to it is reflected.
    objects : tuple of StoredObject
        All existing objects for a list, or the changes for a watch.
    """

    revision: int
    objects: tuple[stored_object.StoredObject, ...]
