"""Stand-in for a trainer that pulls steps and publishes weights."""

import argparse
import json
import threading
import time
from typing import Any

import urllib3

from chestnutshunt_standins import http

__all__ = ['TrainerApplication']

REQUEST_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.05


class TrainerApplication(http.Application):
    """Pulls one step after the other and logs what it received.

    Faults: ``train_time`` (s for each step). Each complete step is logged as
    ``step`` with its samples, the idle time before it and the staleness of
    its oldest sample. A response with an error status is logged as
    ``refused``, a broken one as ``failed``; both are requested again.
    """

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__()
        self.run = args.run
        self.key = args.key
        self.daemons = args.daemons.split(',')
        self.step_count = args.steps
        self.faults['train_time'] = args.train_time
        self.version = args.version
        self.pool = urllib3.PoolManager(retries=False)
        threading.Thread(target=self.train, daemon=True).start()

    def handle(self, request: http.Request) -> tuple[int, Any]:
        """Return the number of trained steps and the weight version."""
        steps = [e for e in self.log.read() if e['event'] == 'step']
        return 200, {'steps': len(steps), 'version': self.version}

    def train(self) -> None:
        """Pull each step, train on it and publish the new weights."""
        for step in range(1, self.step_count + 1):
            started_at = time.monotonic()
            samples = self.pull_step(step)
            idle_s = time.monotonic() - started_at
            oldest = min(v[0] for s in samples for v in s['versions'])
            self.log.add(
                'step',
                step=step,
                samples=samples,
                idle=idle_s,
                staleness=self.version - oldest,
            )
            time.sleep(float(self.faults['train_time']))
            self.version += 1
            self.publish()
        self.log.add('trained')

    def pull_step(self, step: int) -> list[dict[str, Any]]:
        """Request a step from the daemons in turn until it is complete."""
        attempts = 0
        while True:
            daemon = self.daemons[(step + attempts) % len(self.daemons)]
            attempts += 1
            path = f'/v1/runs/{self.run}/steps/{step}'
            try:
                response = self.pool.request(
                    'GET',
                    f'http://{daemon}{path}?version={self.version}',
                    headers=self.headers(),
                    timeout=REQUEST_TIMEOUT_S + 1,
                )
                if response.status == 200:
                    return [json.loads(x) for x in response.data.splitlines()]
                self.log.add('refused', step=step, status=response.status)
            except urllib3.exceptions.HTTPError as exc:
                self.log.add('failed', step=step, why=type(exc).__name__)
            time.sleep(RETRY_DELAY_S)

    def publish(self) -> None:
        """Announce the new weights to the daemons until one accepts them."""
        body = json.dumps({'version': self.version})
        for daemon in self.daemons:
            try:
                response = self.pool.request(
                    'POST',
                    f'http://{daemon}/v1/runs/{self.run}/weights',
                    body=body,
                    headers=self.headers(),
                    timeout=REQUEST_TIMEOUT_S,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                return

    def headers(self) -> dict[str, str]:
        """Return the headers that every request carries."""
        return {
            'Authorization': f'Bearer {self.key}',
            'Request-Timeout': str(REQUEST_TIMEOUT_S),
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
