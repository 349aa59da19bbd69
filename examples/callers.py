"""Callers of the demo, among them one that resends at once."""

from collections.abc import Callable
import json
import random
import threading
import time

import attrs
import urllib3

__all__ = ['Caller', 'CallerStats', 'send_order']

HTTP = urllib3.PoolManager(retries=False, maxsize=256, timeout=15.0)
SLOW_S = 0.3
"""Seconds after which the partners' software resends."""

MAX_SENDS = 12


@attrs.define
class CallerStats:
    """What a workspace's callers saw.

    Attributes
    ----------
    latencies : list of float, shape (n,)
        Seconds of each whole answer.
    refused : int
        Requests that were refused; their callers waited as they were told.
    broken : int
        Answers that broke off or were lost.
    """

    latencies: list[float] = attrs.field(factory=list)
    refused: int = 0
    broken: int = 0

    def share_within(self, limit: float) -> float:
        """Return the share of requests answered whole within a time."""
        sent = len(self.latencies) + self.refused + self.broken
        good = sum(x <= limit for x in self.latencies)
        return good / sent if sent else 0.0


class Caller(threading.Thread):
    """Asks an engine service until it is stopped.

    Parameters
    ----------
    address : callable
        Returns the address for the next request.
    path : str
        Path of the call.
    key : str
        Key that is sent, empty for none.
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
        """Send requests one after the other."""
        number = 0
        while not self.stop.is_set():
            number += 1
            self.ask(number)
            self.stop.wait(self.pause)

    def ask(self, number: int) -> None:
        """Send one request and note its outcome."""
        body = json.dumps(
            {'prompt': f'garment {number % 7}', 'max_tokens': 16}
        )
        began = time.monotonic()
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
            self.stats.latencies.append(time.monotonic() - began)
        else:
            self.stats.broken += 1


def send_order(
    addresses: list[str], path: str, key: str, name: str, order: random.Random
) -> str:
    """Send an order, resending at once elsewhere when it seems slow.

    Returns
    -------
    str
        The answer that counted, or what the last error said of the order.
    """
    headers = {
        'Authorization': f'Bearer {key}',
        'Idempotency-Key': name,
    }
    told = 'no answer'
    for _ in range(MAX_SENDS):
        address = order.choice(addresses)
        try:
            answer = HTTP.request(
                'POST',
                f'http://{address}{path}',
                body=name,
                headers=headers,
                timeout=SLOW_S,
            )
        except urllib3.exceptions.HTTPError:
            continue
        if answer.status == 200:
            return 'answered'
        told = answer.json()['error']['ran']
        time.sleep(0.05)
    return told
