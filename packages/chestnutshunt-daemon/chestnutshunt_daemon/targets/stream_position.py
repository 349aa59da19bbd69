"""The point at which a stream goes on."""

import attrs

__all__ = ['StreamPosition']


@attrs.frozen
class StreamPosition:
    """What a caller says of a stream that it takes up again.

    Attributes
    ----------
    begun_by : str
        Id of the request that brought the caller the stream's first event;
        empty if it does not say.
    last_event : int or None
        Id of the last event that the caller has; ``None`` for a new stream.
    """

    begun_by: str = ''
    last_event: int | None = None
