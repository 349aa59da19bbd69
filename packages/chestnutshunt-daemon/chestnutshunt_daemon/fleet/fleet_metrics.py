"""Metrics of a daemon that serves from registered targets."""

import prometheus_client

__all__ = ['FleetMetrics']

# Upper bounds; from a plain response within a region to a late job.
LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
)


class FleetMetrics:
    """Counters and histograms of a daemon.

    The cardinality of labels is bounded: workspaces, keys and requests are
    never labels.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self.counter(
            'requests', 'Requests by outcome.', ['call', 'status']
        )
        self.attempts = self.counter(
            'attempts', 'Attempts at targets by outcome.', ['outcome']
        )
        self.items = self.counter(
            'items', 'Items of jobs by outcome.', ['outcome']
        )
        self.store_calls = self.counter(
            'store_calls', 'Calls to the store.', ['operation', 'outcome']
        )
        self.loads = self.counter(
            'weight_loads', 'Orders to load weights.', ['outcome']
        )
        self.permits = self.counter(
            'permits', 'Permits for rate-limited targets.', ['outcome']
        )
        self.clients_closed = self.counter(
            'clients_closed',
            'Clients closed for others.',
            ['short_of'],
        )
        self.dropped_lines = self.counter(
            'log_lines_dropped', 'Log lines dropped to stay bounded.', []
        )
        self.request_seconds = self.histogram(
            'request_seconds', 'Time until an answer was whole.', ['call']
        )
        self.item_seconds = self.histogram(
            'item_seconds', 'Time from submission to a listed result.', []
        )

    def counter(
        self, name: str, text: str, labels: list[str]
    ) -> prometheus_client.Counter:
        """Return a new counter of this registry."""
        return prometheus_client.Counter(
            f'chestnutshunt_{name}', text, labels, registry=self.registry
        )

    def histogram(
        self, name: str, text: str, labels: list[str]
    ) -> prometheus_client.Histogram:
        """Return a new histogram of latencies in this registry."""
        return prometheus_client.Histogram(
            f'chestnutshunt_{name}',
            text,
            labels,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
