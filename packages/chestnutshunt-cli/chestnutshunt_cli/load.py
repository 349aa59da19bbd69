"""Bounded load on one address, with a table of its outcomes."""

from collections.abc import Callable
from concurrent import futures
import statistics
import time

import attrs
import urllib3

__all__ = ['LoadReport', 'run_load']

MAX_CALLERS = 256
MAX_REQUESTS = 100_000


@attrs.define
class LoadReport:
    """Outcomes and latencies of a load.

    Attributes
    ----------
    outcomes : dict of str to int
        Count of each status or error.
    latencies : list of float, shape (n,)
        Seconds of each answered request.
    seconds : float
        Length of the whole load.
    """

    outcomes: dict[str, int] = attrs.field(factory=dict)
    latencies: list[float] = attrs.field(factory=list)
    seconds: float = 0.0

    def add(self, outcome: str, latency: float) -> None:
        """Count one request."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.latencies.append(latency)

    def quantile(self, share: float) -> float:
        """Return a quantile of the latencies in seconds."""
        ordered = sorted(self.latencies)
        if not ordered:
            return 0.0
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]

    def rows(self) -> dict[str, float | int]:
        """Return the figures of the table by name."""
        return {
            **{f'outcome {k}': v for k, v in sorted(self.outcomes.items())},
            'requests/s': round(len(self.latencies) / self.seconds, 1),
            'mean ms': round(statistics.fmean(self.latencies) * 1e3, 2),
            'p50 ms': round(self.quantile(0.5) * 1e3, 2),
            'p99 ms': round(self.quantile(0.99) * 1e3, 2),
        }


def run_load(
    url: str,
    body: str,
    headers: dict[str, str],
    callers: int,
    requests: int,
    progress: Callable[[int], None],
) -> LoadReport:
    """Send the same request many times and wait for all answers.

    Parameters
    ----------
    url : str
        Where to send it.
    body : str
        Body; ``{n}`` is replaced by the number of the request.
    headers : dict of str to str
        Headers.
    callers : int
        Requests at one time, at most 256.
    requests : int
        Requests in all, at most 100,000.
    progress : callable
        Called with the number of answers so far.
    """
    callers = min(callers, MAX_CALLERS)
    pool = urllib3.PoolManager(retries=False, maxsize=callers, timeout=60.0)
    report = LoadReport()

    def send(number: int) -> tuple[str, float]:
        began = time.monotonic()
        try:
            answer = pool.request(
                'POST',
                url,
                body=body.replace('{n}', str(number)),
                headers=headers,
            )
            outcome = str(answer.status)
        except urllib3.exceptions.HTTPError as exc:
            outcome = type(exc).__name__
        return outcome, time.monotonic() - began

    began = time.monotonic()
    with futures.ThreadPoolExecutor(callers) as workers:
        numbers = range(min(requests, MAX_REQUESTS))
        for count, (outcome, latency) in enumerate(
            workers.map(send, numbers), 1
        ):
            report.add(outcome, latency)
            progress(count)
    report.seconds = max(time.monotonic() - began, 1e-9)
    return report
