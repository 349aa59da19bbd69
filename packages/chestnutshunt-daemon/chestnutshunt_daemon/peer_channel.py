"""A channel to another daemon that may be closed while calls begin."""

from collections.abc import Callable
from typing import Any

import grpc

__all__ = ['ChannelClosed', 'PeerChannel']


class ChannelClosed(grpc.RpcError):
    """The channel was closed before the call was sent.

    A link that fails closes its channel; other threads may hold a stub of it.
    The library raises a bare `ValueError` then, which no caller expects.
    """

    def code(self) -> grpc.StatusCode:
        """Return the status that goes with it."""
        return grpc.StatusCode.UNAVAILABLE

    def details(self) -> str:
        """Return the reason."""
        return 'The channel was closed.'


class PeerCall:
    """One method of a stub.

    Parameters
    ----------
    inner : callable
        The library's form of the method.
    """

    def __init__(self, inner: Any) -> None:
        self.inner = inner

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        """Make the call and return its reply."""
        return begin(self.inner, *args, **kwargs)

    def future(self, *args: Any, **kwargs: Any) -> Any:
        """Begin the call and return its future."""
        return begin(self.inner.future, *args, **kwargs)


def begin(call: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
    """Make a call; raises `ChannelClosed` if its channel is."""
    try:
        return call(*args, **kwargs)
    except ValueError as exc:
        raise ChannelClosed(str(exc)) from exc


class PeerChannel:
    """What generated stubs need of a channel.

    Parameters
    ----------
    inner : Channel
        The library's channel.
    """

    def __init__(self, inner: grpc.Channel) -> None:
        self.inner = inner

    def unary_unary(self, *args: Any, **kwargs: Any) -> PeerCall:
        """Return a method with one request and one reply."""
        return PeerCall(self.inner.unary_unary(*args, **kwargs))

    def unary_stream(self, *args: Any, **kwargs: Any) -> PeerCall:
        """Return a method with one request and a stream of replies."""
        return PeerCall(self.inner.unary_stream(*args, **kwargs))

    def stream_unary(self, *args: Any, **kwargs: Any) -> PeerCall:
        """Return a method with a stream of requests and one reply."""
        return PeerCall(self.inner.stream_unary(*args, **kwargs))

    def close(self) -> None:
        """Close the channel, cutting its calls off."""
        self.inner.close()
