"""Service and software version whose targets generate a stream."""

import attrs

__all__ = ['StreamOrigin']


@attrs.frozen
class StreamOrigin:
    """What the targets that generate one stream have in common.

    Targets of different origins generate events that do not fit together.

    Attributes
    ----------
    service : str
        Service of the targets.
    software : str
        Version of the program that they run, not of their weights.
    """

    service: str
    software: str
