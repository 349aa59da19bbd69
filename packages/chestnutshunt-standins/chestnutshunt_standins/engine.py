"""Stand-in for a model engine that batches continuously."""

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


def expected_token(
    prompt: str, seed: int, index: int, version: int = 1
) -> str:
    """Return the token that a version makes at a position."""
    text = f'{prompt}\0{seed}\0{index}'.encode()
    digest = hashlib.blake2b(text, digest_size=3).hexdigest()
    return f'{digest}.{version}'


class EngineApplication(http.Application):
    """Streams tokens as JSON lines, each with the version that made it.

    Above ``slots`` streams at one time a token takes longer in proportion.

    Faults: ``token_time`` (s a token), ``crash_on`` (text in a prompt that
    ends the process), ``cut_after`` (tokens until a stream breaks off),
    ``stall_after`` (tokens until a stream falls silent), ``swap_fails``,
    ``swap_time`` (s), ``hide_version`` (tokens do not say their version),
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
        """Serve a generation, an order or the load report."""
        if request.path == '/load':
            return 200, {
                'in_flight': self.in_flight,
                'version': self.version,
                'tokens': self.tokens,
            }
        if request.path == '/orders':
            return self.handle_order(request.json())
        asked = request.json()
        marker = self.faults.get('crash_on')
        if marker and marker in asked['prompt']:
            self.log.add('crash', prompt=asked['prompt'])
            os._exit(17)
        self.log.add(
            'generate', prompt=asked['prompt'], headers=request.headers()
        )
        return 200, self.generate(asked)

    def handle_order(self, order: dict[str, Any]) -> tuple[int, Any]:
        """Load another weight version unless the order is old."""
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

    def generate(self, asked: dict[str, Any]) -> Iterator[bytes]:
        """Yield a token a line, then a line that ends the answer."""
        prompt = asked['prompt']
        seed = int(asked.get('seed', 0))
        first = len(asked.get('resume', []))
        count = int(asked.get('max_tokens', 16))
        with self.lock:
            self.in_flight += 1
        try:
            self.prefill(prompt)
            for index in range(first, count):
                self.wait_token(index - first)
                version = self.version
                token = expected_token(prompt, seed, index, version)
                line = {'token': token}
                if not self.faults.get('hide_version'):
                    line['version'] = version
                self.tokens += 1
                yield json.dumps(line).encode() + b'\n'
            yield json.dumps({'done': True, 'tokens': count}).encode() + b'\n'
            self.log.add('finished', prompt=prompt, tokens=count - first)
        finally:
            with self.lock:
                self.in_flight -= 1

    def prefill(self, prompt: str) -> None:
        """Spend time on a prompt whose prefix is not in the cache."""
        key = prompt[:64]
        if key in self.cache:
            return
        time.sleep(float(self.faults.get('prefill_time', 0)))
        self.cache[key] = None
        while len(self.cache) > 64:
            del self.cache[next(iter(self.cache))]

    def wait_token(self, made: int) -> None:
        """Take the time of one token, or fail as the faults say."""
        if made == self.faults.get('cut_after', -1):
            raise ConnectionAbortedError('cut')
        while made >= self.faults.get('stall_after', made + 1):
            time.sleep(0.005)
        pause = float(self.faults.get('token_time', self.token_time))
        if pause:
            time.sleep(pause * max(self.in_flight / self.slots, 1.0))


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
