"""Ends gRPC streams that have fallen silent."""

from collections.abc import Iterator
import threading
import time

import grpc

__all__ = ['cancel_when_silent']


def cancel_when_silent(call: grpc.Future, limit_s: float) -> Iterator:
    """Yield the messages of a call and cancel it when it falls silent.

    Parameters
    ----------
    call : grpc.Future
        A stream of replies.
    limit_s : float
        Longest silence in seconds; it is noticed up to a half later.
    """
    heard = time.monotonic()
    ended = threading.Event()

    def watch() -> None:
        while not ended.wait(limit_s / 2):
            if time.monotonic() - heard > limit_s:
                call.cancel()
                return

    threading.Thread(target=watch, name='silence', daemon=True).start()
    try:
        for message in call:
            heard = time.monotonic()
            yield message
            heard = time.monotonic()
    finally:
        ended.set()
