"""Inactivity timeout for gRPC streams."""

from collections.abc import Iterator
import threading
import time

import grpc

__all__ = ['cancel_when_silent']


def cancel_when_silent(call: grpc.Future, limit_s: float) -> Iterator:
    """Yield the messages of a stream; cancel it after too long a silence.

    A thread watches the stream. It also cancels the call if the consumer
    holds one message for longer than the limit.

    Parameters
    ----------
    call : grpc.Future
        Call that returns a stream of messages.
    limit_s : float
        Longest silence in seconds. It is checked every ``limit_s / 2``, so
        the cancellation may come that much later.
    """
    last_message_at = time.monotonic()
    ended = threading.Event()

    def watch() -> None:
        while not ended.wait(limit_s / 2):
            if time.monotonic() - last_message_at > limit_s:
                call.cancel()
                return

    threading.Thread(target=watch, name='silence', daemon=True).start()
    try:
        for message in call:
            last_message_at = time.monotonic()
            yield message
            last_message_at = time.monotonic()
    finally:
        ended.set()
