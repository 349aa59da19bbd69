"""gRPC channel that can be closed while other threads start calls."""

from collections.abc import Callable
from typing import Any

import grpc

__all__ = ['ChannelClosed', 'PeerChannel']


class ChannelClosed(grpc.RpcError):
    """The channel was closed before the call was sent.

    A failed link closes its channel while other threads may still hold a
    stub of it. grpc raises a bare `ValueError` in this case, which the
    callers do not handle.
    """

    def code(self) -> grpc.StatusCode:
        """Return UNAVAILABLE, as for a lost connection."""
        return grpc.StatusCode.UNAVAILABLE

    def details(self) -> str:
        """Return the error message."""
        return 'The channel was closed.'


class PeerCall:
    """Callable method of a stub.

    Parameters
    ----------
    inner : callable
        Multi-callable of grpc.
    """

    def __init__(self, inner: Any) -> None:
        self.inner = inner

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        """Start the call; return its reply or stream of replies."""
        return start_call(self.inner, *args, **kwargs)

    def future(self, *args: Any, **kwargs: Any) -> Any:
        """Start the call and return its future."""
        return start_call(self.inner.future, *args, **kwargs)


def start_call(call: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
    """Start a call; raises `ChannelClosed` if its channel is closed."""
    try:
        return call(*args, **kwargs)
    except ValueError as exc:
        raise ChannelClosed(str(exc)) from exc


class PeerChannel:
    """Wraps a channel for generated stubs.

    Parameters
    ----------
    inner : Channel
        Channel of grpc.
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
        """Close the channel and cancel its calls."""
        self.inner.close()
