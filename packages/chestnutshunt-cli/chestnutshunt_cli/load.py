"""Bounded load test of one URL, with a summary of its outcomes."""

from collections.abc import Callable
from concurrent import futures
import statistics
import time

import attrs
import urllib3

__all__ = ['LoadReport', 'run_load']

REQUEST_TIMEOUT_S = 60.0
MAX_CALLER_COUNT = 256
MAX_REQUEST_COUNT = 100_000


@attrs.define
class LoadReport:
    """Outcomes and latencies of a load test.

    Attributes
    ----------
    outcomes : dict of str to int
        Number of requests by HTTP status or by type of error.
    latencies : list of float, shape (n,)
        Duration of each request in seconds, failed ones included.
    seconds : float
        Duration of the whole test.
    """

    outcomes: dict[str, int] = attrs.field(factory=dict)
    latencies: list[float] = attrs.field(factory=list)
    seconds: float = 0.0

    def add(self, outcome: str, latency: float) -> None:
        """Record one request; ``latency`` is in seconds."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.latencies.append(latency)

    def quantile(self, fraction: float) -> float:
        """Return a quantile of the latencies in seconds, 0.0 without any."""
        ordered = sorted(self.latencies)
        if not ordered:
            return 0.0
        return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]

    def rows(self) -> dict[str, float | int]:
        """Return the printed figures by name."""
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
    """Send the same request many times and wait for all responses.

    Parameters
    ----------
    url : str
        URL that receives the requests.
    body : str
        Body; ``{n}`` is replaced by the number of the request.
    headers : dict of str to str
        Headers of each request.
    callers : int
        Number of concurrent requests, at most 256.
    requests : int
        Total number of requests, at most 100,000.
    progress : callable
        Called with the number of finished requests so far, in the calling
        thread.
    """
    callers = min(callers, MAX_CALLER_COUNT)
    pool = urllib3.PoolManager(
        retries=False, maxsize=callers, timeout=REQUEST_TIMEOUT_S
    )
    report = LoadReport()

    def send(number: int) -> tuple[str, float]:
        sent_at = time.monotonic()
        try:
            response = pool.request(
                'POST',
                url,
                body=body.replace('{n}', str(number)),
                headers=headers,
            )
            outcome = str(response.status)
        except urllib3.exceptions.HTTPError as exc:
            outcome = type(exc).__name__
        return outcome, time.monotonic() - sent_at

    started_at = time.monotonic()
    with futures.ThreadPoolExecutor(callers) as workers:
        numbers = range(min(requests, MAX_REQUEST_COUNT))
        for count, (outcome, latency) in enumerate(
            workers.map(send, numbers), 1
        ):
            report.add(outcome, latency)
            progress(count)
    report.seconds = max(time.monotonic() - started_at, 1e-9)
    return report
