"""Stand-in for a plain service that logs every call it runs."""

import argparse
import os
import threading
import time
from typing import Any

from chestnutshunt_standins import http

__all__ = ['PlainApplication']

CRASH_EXIT_CODE = 17
POLL_INTERVAL_S = 0.005


class PlainApplication(http.Application):
    """Answers every call and logs that it ran.

    A call occupies one of a fixed number of slots for its work time.

    Faults: ``delay`` (s before the response, in place of the work time),
    ``hold`` (bool, respond only once it is off), ``crash_on`` (text in a body
    that ends the process), ``status`` (respond with this status), ``cut`` (cut
    the connection in the middle of the response), ``silent`` (send no
    response).
    """

    def __init__(self, name: str, slots: int, work_time: float) -> None:
        super().__init__()
        self.name = name
        self.in_flight = 0
        self.slots = threading.BoundedSemaphore(slots)
        self.work_time = work_time
        self.lock = threading.Lock()

    def handle(self, request: http.Request) -> tuple[int, Any]:
        """Run one call."""
        if request.path == '/load':
            return 200, {'in_flight': self.in_flight}
        with self.lock:
            self.in_flight += 1
        try:
            return self.run(request)
        finally:
            with self.lock:
                self.in_flight -= 1

    def run(self, request: http.Request) -> tuple[int, Any]:
        """Log the run, apply the faults that are on and respond."""
        text = request.body.decode('utf-8', 'replace')
        self.log.add(
            'run',
            call=f'{request.method} {request.path}',
            body=text,
            headers=request.headers(),
        )
        marker = self.faults.get('crash_on')
        if marker and marker in text:
            os._exit(CRASH_EXIT_CODE)
        with self.slots:
            time.sleep(float(self.faults.get('delay', self.work_time)))
        while self.faults.get('hold') or self.faults.get('silent'):
            time.sleep(POLL_INTERVAL_S)
        if self.faults.get('cut'):
            return 200, cut_response()
        status = int(self.faults.get('status', 200))
        self.log.add('answered', body=text)
        return status, {'target': self.name, 'echo': text}


def cut_response():
    """Yield part of a response, then cut the connection."""
    yield b'{"target": '
    raise ConnectionAbortedError('connection cut by the fault cut')


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', default='plain')
    parser.add_argument('--slots', type=int, default=10_000)
    parser.add_argument('--work-time', type=float, default=0.0)
    http.main(
        lambda args: PlainApplication(args.name, args.slots, args.work_time),
        parser,
        threads=256,
    )
