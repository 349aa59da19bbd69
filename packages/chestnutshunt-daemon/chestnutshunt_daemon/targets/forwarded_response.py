"""The final response to a forwarded request."""

import attrs

from chestnutshunt_daemon.targets import response_head

__all__ = ['ForwardedResponse']


@attrs.frozen(eq=False)
class ForwardedResponse:
    """A complete response of a target.

    Attributes
    ----------
    head : ResponseHead
        Decoded head.
    headers : list of (str, str)
        Headers that may be forwarded.
    body : bytes
        Complete body.
    """

    head: response_head.ResponseHead
    headers: list[tuple[str, str]]
    body: bytes = attrs.field(repr=False)
