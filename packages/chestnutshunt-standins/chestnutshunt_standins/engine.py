"""Stand-in for a model engine with continuous batching."""

import argparse
from collections.abc import Iterator
import hashlib
import json
import os
import threading
import time
from typing import Any

from chestnutshunt_standins import http

__all__ = ['EngineApplication', 'expected_token']

CRASH_EXIT_CODE = 17
PREFIX_LENGTH = 64
MAX_CACHED_PREFIX_COUNT = 64
POLL_INTERVAL_S = 0.005


def expected_token(
    prompt: str, seed: int, index: int, version: int = 1
) -> str:
    """Return the token that a weight version generates at an index."""
    text = f'{prompt}\0{seed}\0{index}'.encode()
    digest = hashlib.blake2b(text, digest_size=3).hexdigest()
    return f'{digest}.{version}'


class EngineApplication(http.Application):
    """Streams tokens as JSON lines, each with the version that generated it.

    With more than ``slots`` concurrent streams, the time for a token grows
    in proportion to their number.

    Faults: ``token_time`` (s for each token), ``crash_on`` (text in a prompt
    that ends the process), ``cut_after`` (tokens until the connection of a
    stream is cut), ``stall_after`` (tokens until a stream stalls),
    ``swap_fails`` (loading of weights fails), ``swap_time`` (s to load
    weights), ``hide_version`` (tokens come without their version),
    ``prefill_time`` (s for a prompt whose prefix is not cached).
    """

    def __init__(
        self, name: str, token_time: float, version: int, slots: int
    ) -> None:
        super().__init__()
        self.name = name
        self.version = version
        self.token_time = token_time
        self.slots = slots
        self.fence = 0
        self.in_flight = 0
        self.tokens = 0
        self.cache: dict[str, None] = {}
        self.lock = threading.Lock()

    def handle(self, request: http.Request) -> tuple[int, Any]:
        """Serve a generation, a weights order or the load report."""
        if request.path == '/load':
            return 200, {
                'in_flight': self.in_flight,
                'version': self.version,
                'tokens': self.tokens,
            }
        if request.path == '/orders':
            return self.handle_order(request.json())
        parameters = request.json()
        marker = self.faults.get('crash_on')
        if marker and marker in parameters['prompt']:
            self.log.add('crash', prompt=parameters['prompt'])
            os._exit(CRASH_EXIT_CODE)
        self.log.add(
            'generate', prompt=parameters['prompt'], headers=request.headers()
        )
        return 200, self.generate(parameters)

    def handle_order(self, order: dict[str, Any]) -> tuple[int, Any]:
        """Load the ordered weight version unless its order is stale."""
        fence = int(order.get('fence', 0))
        stale = fence < self.fence
        self.log.add('order', order=order, stale=stale)
        if stale:
            return 409, {'error': 'old fencing number'}
        self.fence = fence
        time.sleep(float(self.faults.get('swap_time', 0)))
        if self.faults.get('swap_fails'):
            return 500, {'error': 'swap failed', 'version': self.version}
        self.version = int(order['version'])
        self.log.add('version', version=self.version)
        return 200, {'version': self.version}

    def generate(self, parameters: dict[str, Any]) -> Iterator[bytes]:
        """Yield a line for each token, then a line that ends the response."""
        prompt = parameters['prompt']
        seed = int(parameters.get('seed', 0))
        first_index = len(parameters.get('resume', []))
        end_index = int(parameters.get('max_tokens', 16))
        with self.lock:
            self.in_flight += 1
        try:
            self.prefill(prompt)
            for index in range(first_index, end_index):
                self.wait_token(index - first_index)
                version = self.version
                token = expected_token(prompt, seed, index, version)
                line = {'token': token}
                if not self.faults.get('hide_version'):
                    line['version'] = version
                self.tokens += 1
                yield json.dumps(line).encode() + b'\n'
            yield (
                json.dumps({'done': True, 'tokens': end_index}).encode()
                + b'\n'
            )
            self.log.add(
                'finished', prompt=prompt, tokens=end_index - first_index
            )
        finally:
            with self.lock:
                self.in_flight -= 1

    def prefill(self, prompt: str) -> None:
        """Take the prefill time for a prompt whose prefix is not cached."""
        prefix = prompt[:PREFIX_LENGTH]
        if prefix in self.cache:
            return
        time.sleep(float(self.faults.get('prefill_time', 0)))
        self.cache[prefix] = None
        while len(self.cache) > MAX_CACHED_PREFIX_COUNT:
            del self.cache[next(iter(self.cache))]

    def wait_token(self, sent_count: int) -> None:
        """Take the time of one token, or cut or stall the stream.

        ``sent_count`` is the number of tokens sent so far in this stream.
        """
        if sent_count == self.faults.get('cut_after', -1):
            raise ConnectionAbortedError(
                'connection cut by the fault cut_after'
            )
        while sent_count >= self.faults.get('stall_after', sent_count + 1):
            time.sleep(POLL_INTERVAL_S)
        token_time_s = float(self.faults.get('token_time', self.token_time))
        if token_time_s:
            time.sleep(token_time_s * max(self.in_flight / self.slots, 1.0))


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', default='engine')
    parser.add_argument('--token-time', type=float, default=0.002)
    parser.add_argument('--slots', type=int, default=64)
    parser.add_argument('--version', type=int, default=1)
    http.main(
        lambda args: EngineApplication(
            args.name, args.token_time, args.version, args.slots
        ),
        parser,
        threads=128,
    )
