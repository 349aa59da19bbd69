"""Status and headers of an answer."""

import attrs

__all__ = ['AnswerHead']


@attrs.frozen
class AnswerHead:
    """Status line and headers, which precede the body.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of str
        Names and values of the headers that are forwarded.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
