"""The answer that ends a forwarded request."""

import attrs

from chestnutshunt_daemon.targets import response_head

__all__ = ['ForwardedResponse']


@attrs.frozen(eq=False)
class ForwardedResponse:
    """A target's whole answer.

    Attributes
    ----------
    head : ResponseHead
        What its head says.
    headers : list of (str, str)
        Headers that may be passed on.
    body : bytes
        Body.
    """

    head: response_head.ResponseHead
    headers: list[tuple[str, str]]
    body: bytes = attrs.field(repr=False)
