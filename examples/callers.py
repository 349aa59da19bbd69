"""Callers of the demo, including one that resends immediately."""

from collections.abc import Callable
import json
import random
import threading
import time

import attrs
import urllib3

__all__ = ['Caller', 'CallerStats', 'send_order']

HTTP = urllib3.PoolManager(retries=False, maxsize=256, timeout=15.0)
# Timeout after which a partner's client resends a request.
RESEND_AFTER_S = 0.3

MAX_SEND_COUNT = 12


@attrs.define
class CallerStats:
    """Outcomes of the requests of a workspace's callers.

    Attributes
    ----------
    latencies : list of float, shape (n,)
        Latency of each complete answer, in seconds.
    refused : int
        Requests that were refused; callers wait as Retry-After asks.
    broken : int
        Answers that were truncated or lost.
    """

    latencies: list[float] = attrs.field(factory=list)
    refused: int = 0
    broken: int = 0

    def share_within(self, limit: float) -> float:
        """Return the share of requests completed within a limit in s."""
        sent = len(self.latencies) + self.refused + self.broken
        in_time = sum(x <= limit for x in self.latencies)
        return in_time / sent if sent else 0.0


class Caller(threading.Thread):
    """Sends requests to an engine service until it is stopped.

    Parameters
    ----------
    address : callable
        Returns the address for the next request.
    path : str
        Path of the call.
    key : str
        API key sent as a bearer token, empty for none.
    stop : Event
        Ends the caller.
    pause : float
        Seconds between requests.
    """

    def __init__(
        self,
        address: Callable[[], str],
        path: str,
        key: str,
        stop: threading.Event,
        pause: float,
    ) -> None:
        super().__init__(daemon=True)
        self.address = address
        self.path = path
        self.key = key
        self.stop = stop
        self.pause = pause
        self.stats = CallerStats()

    def run(self) -> None:
        """Send requests one at a time."""
        number = 0
        while not self.stop.is_set():
            number += 1
            self.send_request(number)
            self.stop.wait(self.pause)

    def send_request(self, number: int) -> None:
        """Send one request and record its outcome."""
        body = json.dumps(
            {'prompt': f'garment {number % 7}', 'max_tokens': 16}
        )
        started_at = time.monotonic()
        try:
            answer = HTTP.request(
                'POST',
                f'http://{self.address()}{self.path}',
                body=body,
                headers={'Authorization': f'Bearer {self.key}'},
            )
        except urllib3.exceptions.HTTPError:
            self.stats.broken += 1
            return
        if answer.status != 200:
            self.stats.refused += 1
            self.stop.wait(float(answer.headers.get('Retry-After', 0.1)))
        elif b'"done": true' in answer.data:
            self.stats.latencies.append(time.monotonic() - started_at)
        else:
            self.stats.broken += 1


def send_order(
    addresses: list[str], path: str, key: str, name: str, rng: random.Random
) -> str:
    """Send an order; on a timeout resend it at once to a random address.

    Returns
    -------
    str
        ``answered``, the last error's ``ran`` field, or ``no answer``.
    """
    headers = {
        'Authorization': f'Bearer {key}',
        'Idempotency-Key': name,
    }
    outcome = 'no answer'
    for _ in range(MAX_SEND_COUNT):
        address = rng.choice(addresses)
        try:
            answer = HTTP.request(
                'POST',
                f'http://{address}{path}',
                body=name,
                headers=headers,
                timeout=RESEND_AFTER_S,
            )
        except urllib3.exceptions.HTTPError:
            continue
        if answer.status == 200:
            return 'answered'
        outcome = answer.json()['error']['ran']
        time.sleep(0.05)
    return outcome
