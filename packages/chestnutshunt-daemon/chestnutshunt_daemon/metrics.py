"""Prometheus metrics of one daemon, with bounded labels."""

import prometheus_client

__all__ = ['Metrics']


class Metrics:
    """Counters and histograms in a registry of their own.

    Labels are services, outcomes and directions. Workspaces, keys and
    requests are never labels, so that the number of series stays bounded.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'chestnutshunt_requests',
            'Requests by outcome.',
            ['service', 'outcome'],
            registry=self.registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            'chestnutshunt_request_seconds',
            'Time until the answer was whole.',
            ['service'],
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            'chestnutshunt_attempts',
            'Attempts at targets by outcome.',
            ['service', 'outcome'],
            registry=self.registry,
        )
        self.joined = prometheus_client.Counter(
            'chestnutshunt_joined',
            'Resends that joined a request.',
            ['service'],
            registry=self.registry,
        )
        self.clients_closed = prometheus_client.Counter(
            'chestnutshunt_clients_closed',
            'Clients closed for others.',
            ['short_of'],
            registry=self.registry,
        )
        self.heartbeats = prometheus_client.Counter(
            'chestnutshunt_heartbeats',
            'Frames exchanged with peers.',
            ['direction'],
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
