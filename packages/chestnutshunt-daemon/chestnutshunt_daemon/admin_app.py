"""WSGI application of the admin listener."""

from collections.abc import Callable
from collections.abc import Iterable
import json
from typing import Any
from urllib import parse

import attrs

from chestnutshunt import errors
from chestnutshunt import steps
from chestnutshunt_daemon import dump
from chestnutshunt_daemon import error_reply
from chestnutshunt_daemon import node

__all__ = ['AdminApplication']

MAX_STEP_WAIT_S = 30.0


@attrs.frozen
class Reply:
    """Response to an admin request."""

    body: bytes
    status: str = '200 OK'
    content_type: str = 'application/json'


class AdminApplication:
    """Serves health, readiness, metrics, state dumps and test step gates.

    Parameters
    ----------
    state : Node
        Shared state of the daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        try:
            reply = self.handle(environ)
        except errors.ChestnutshuntError as exc:
            body = error_reply.render_error(exc, '')
            reply = Reply(body, f'{exc.status} Refused')
        start_response(
            reply.status,
            [
                ('Content-Type', reply.content_type),
                ('Content-Length', str(len(reply.body))),
            ],
        )
        return [reply.body]

    def handle(self, environ: dict[str, Any]) -> Reply:
        """Dispatch a request by its path."""
        path = environ['PATH_INFO']
        if path == '/healthz':
            return Reply(b'ok\n', content_type='text/plain')
        if path == '/readyz':
            return self.check_ready()
        if path == '/metrics':
            text = 'text/plain; version=0.0.4'
            return Reply(self.state.metrics.render(), content_type=text)
        if path == '/dump':
            return Reply(encode(dump.dump(self.state)))
        if path.startswith('/steps/') and steps.gates.enabled:
            return self.control_step_gate(
                environ, path.removeprefix('/steps/')
            )
        raise errors.RouteUnknown(
            'There is no such page.',
            'Use /healthz, /readyz, /metrics or /dump.',
        )

    def check_ready(self) -> Reply:
        """Return 200 if the daemon can take new work.

        Raises
        ------
        Draining
            The daemon is shutting down.
        NotReady
            No configuration has been received yet.
        """
        if self.state.draining.is_set():
            raise errors.Draining('This daemon is shutting down.')
        if not self.state.mirror.revision:
            raise errors.NotReady('No configuration has been received yet.')
        return Reply(b'ready\n', content_type='text/plain')

    def control_step_gate(self, environ: dict[str, Any], name: str) -> Reply:
        """Arm, release or wait for a step gate."""
        query = dict(parse.parse_qsl(environ.get('QUERY_STRING', '')))
        if query.get('action') == 'arm':
            steps.gates.arm(name)
        elif query.get('action') == 'release':
            steps.gates.release(name)
        else:
            timeout_s = min(float(query.get('timeout', 0)), MAX_STEP_WAIT_S)
            reached = steps.gates.wait_until_reached(name, timeout_s)
            return Reply(encode({'reached': reached}))
        return Reply(encode({'armed': sorted(steps.gates.armed)}))


def encode(value: Any) -> bytes:
    """Encode a value as one line of JSON."""
    return json.dumps(value).encode() + b'\n'
