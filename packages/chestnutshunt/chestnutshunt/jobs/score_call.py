"""The request that scores a complete text."""

import attrs

__all__ = ['ScoreCall']


@attrs.frozen
class ScoreCall:
    """Idempotent request; the signature of its response is the score.

    Attributes
    ----------
    id : str
        Request id.
    host, path : str
        Select the route.
    body : bytes
        Request body.
    """

    id: str
    host: str
    path: str
    body: bytes = attrs.field(repr=False)
