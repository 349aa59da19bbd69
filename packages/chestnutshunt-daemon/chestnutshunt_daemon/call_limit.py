"""Ends gRPC streams that have fallen silent."""

from collections.abc import Iterator
import threading

import grpc

__all__ = ['with_limit']


def with_limit(call: grpc.Future, limit: float) -> Iterator:
    """Yield the messages of a call and cancel it when it falls silent."""
    moved = threading.Event()
    ended = threading.Event()

    def watch() -> None:
        while moved.wait(limit):
            moved.clear()
            if ended.is_set():
                return
        call.cancel()

    threading.Thread(target=watch, name='silence', daemon=True).start()
    try:
        for message in call:
            moved.set()
            yield message
    finally:
        ended.set()
        moved.set()
