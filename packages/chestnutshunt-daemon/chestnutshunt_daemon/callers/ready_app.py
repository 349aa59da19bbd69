"""Readiness check, metrics and state dump over HTTP."""

from collections.abc import Callable
from collections.abc import Iterable
import json
from typing import Any

from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['ReadyApplication']

# The daemon reports that it is not ready this long before its keys are too old
# to be trusted, so that the load balancer sends callers elsewhere in time.
READY_MARGIN_S = 1.0


class ReadyApplication:
    """WSGI application of the ready and metrics addresses.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    make_dump : callable
        Returns the daemon's state as JSON-compatible values.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        make_dump: Callable[[], dict[str, Any]],
    ) -> None:
        self.state = state
        self.make_dump = make_dump

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Serve ``/metrics``, ``/dump`` and, elsewhere, the readiness."""
        if environ['PATH_INFO'] == '/metrics':
            body = self.state.metrics.render()
            return reply(start_response, 'text/plain; version=0.0.4', body)
        if environ['PATH_INFO'] == '/dump':
            body = json.dumps(self.make_dump()).encode()
            return reply(start_response, 'application/json', body)
        status = '200 OK' if self.is_ready() else '503 Service Unavailable'
        start_response(status, [('Content-Length', '0')])
        return [b'']

    def is_ready(self) -> bool:
        """Return whether the daemon should get new connections."""
        if self.state.leaving.is_set() or self.state.deployment is None:
            return False
        limit_s = self.state.config.revoke_s - READY_MARGIN_S
        return self.state.config_age_s() < limit_s


def reply(
    start_response: Callable, content_type: str, body: bytes
) -> Iterable[bytes]:
    """Start a 200 response and return its body."""
    start_response(
        '200 OK',
        [
            ('Content-Type', content_type),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]
