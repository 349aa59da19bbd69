"""Stand-in for a trainer that pulls steps and publishes weights."""

import argparse
import json
import threading
import time
from typing import Any

import urllib3

from chestnutshunt_standins import http

__all__ = ['TrainerApplication']

ASK_TIMEOUT = 5.0
RETRY_DELAY = 0.05


class TrainerApplication(http.Application):
    """Asks for one step after the other and logs what it received.

    Faults: ``train_time`` (s a step). Each whole step is logged as ``step``
    with its samples, the idle time before it and the staleness of its oldest
    sample; a broken answer is logged as ``failed`` and asked for again.
    """

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__()
        self.run = args.run
        self.key = args.key
        self.daemons = args.daemons.split(',')
        self.count = args.steps
        self.faults['train_time'] = args.train_time
        self.version = args.version
        self.pool = urllib3.PoolManager(retries=False)
        threading.Thread(target=self.work, daemon=True).start()

    def handle(self, request: http.Request) -> tuple[int, Any]:
        """Tell how far the training is."""
        done = [e for e in self.log.read() if e['event'] == 'step']
        return 200, {'steps': len(done), 'version': self.version}

    def work(self) -> None:
        """Train for the steps that were asked for."""
        for step in range(1, self.count + 1):
            began = time.monotonic()
            samples = self.pull(step)
            idle = time.monotonic() - began
            oldest = min(v[0] for s in samples for v in s['versions'])
            self.log.add(
                'step',
                step=step,
                samples=samples,
                idle=idle,
                staleness=self.version - oldest,
            )
            time.sleep(float(self.faults['train_time']))
            self.version += 1
            self.publish()
        self.log.add('trained')

    def pull(self, step: int) -> list[dict[str, Any]]:
        """Ask until a whole step has come."""
        tries = 0
        while True:
            daemon = self.daemons[(step + tries) % len(self.daemons)]
            tries += 1
            path = f'/v1/runs/{self.run}/steps/{step}'
            try:
                answer = self.pool.request(
                    'GET',
                    f'http://{daemon}{path}?version={self.version}',
                    headers=self.headers(),
                    timeout=ASK_TIMEOUT + 1,
                )
                if answer.status == 200:
                    return [json.loads(x) for x in answer.data.splitlines()]
                self.log.add('refused', step=step, status=answer.status)
            except urllib3.exceptions.HTTPError as exc:
                self.log.add('failed', step=step, why=type(exc).__name__)
            time.sleep(RETRY_DELAY)

    def publish(self) -> None:
        """Tell any daemon of the new weights; one success is enough."""
        body = json.dumps({'version': self.version})
        for daemon in self.daemons:
            try:
                answer = self.pool.request(
                    'POST',
                    f'http://{daemon}/v1/runs/{self.run}/weights',
                    body=body,
                    headers=self.headers(),
                    timeout=ASK_TIMEOUT,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 200:
                return

    def headers(self) -> dict[str, str]:
        """Return the headers of each call."""
        return {
            'Authorization': f'Bearer {self.key}',
            'Request-Timeout': str(ASK_TIMEOUT),
        }


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--run', required=True)
    parser.add_argument('--key', required=True)
    parser.add_argument('--daemons', required=True)
    parser.add_argument('--steps', type=int, default=5)
    parser.add_argument('--train-time', type=float, default=0.2)
    parser.add_argument('--version', type=int, default=1)
    http.main(TrainerApplication, parser)
