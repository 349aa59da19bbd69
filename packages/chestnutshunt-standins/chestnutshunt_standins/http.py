"""Common HTTP interface of the stand-ins."""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import json
import signal
import threading
from typing import Any
from urllib import parse

from cheroot import wsgi

from chestnutshunt_standins import event_log

__all__ = ['Application', 'Request', 'main']

STOP_TIMEOUT_S = 5

REASON_PHRASES = {
    200: 'OK',
    201: 'Created',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class Request:
    """A WSGI request with its body read."""

    def __init__(self, environ: dict[str, Any]) -> None:
        self.environ = environ
        self.method = environ['REQUEST_METHOD']
        self.raw_path = environ['PATH_INFO']
        self.path = parse.unquote(self.raw_path)
        self.query = dict(parse.parse_qsl(environ.get('QUERY_STRING', '')))
        self.body = environ['wsgi.input'].read()

    def header(self, name: str) -> str:
        """Return the value of a header, empty if it was not sent."""
        return self.environ.get('HTTP_' + name.upper().replace('-', '_'), '')

    def headers(self) -> dict[str, str]:
        """Return all headers with their names in lower case."""
        return {
            key[5:].lower().replace('_', '-'): value
            for key, value in self.environ.items()
            if key.startswith('HTTP_')
        }

    def path_parts(self) -> list[str]:
        """Return the path segments; an encoded slash separates nothing."""
        return [parse.unquote(x) for x in self.raw_path.strip('/').split('/')]

    def json(self) -> Any:
        """Return the body decoded as JSON, ``None`` if it is empty."""
        return json.loads(self.body or b'null')


class Application:
    """WSGI application with fault settings, an event log and JSON replies."""

    def __init__(self) -> None:
        self.faults: dict[str, Any] = {}
        self.log = event_log.EventLog()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Serve /faults and /log, and pass other paths to `handle`."""
        request = Request(environ)
        if request.path == '/faults':
            self.faults.update(request.json())
            status, value = 200, self.faults
        elif request.path == '/log':
            status, value = 200, self.log.read()
        else:
            status, value = self.handle(request)
        headers = [('Content-Type', 'application/json')]
        if not isinstance(value, (dict, list)):
            start_response(f'{status} {REASON_PHRASES[status]}', headers)
            return value
        payload = json.dumps(value).encode()
        headers.append(('Content-Length', str(len(payload))))
        start_response(f'{status} {REASON_PHRASES[status]}', headers)
        return [payload]

    def handle(self, request: Request) -> tuple[int, Any]:
        """Return the status, and a JSON value or an iterable of bytes."""
        raise NotImplementedError


@contextlib.contextmanager
def serve_in_background(
    host: str, port: int, application: Application, threads: int
):
    """Serve in a background thread until the context ends."""
    server = wsgi.Server((host, port), application, numthreads=threads)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield server
    finally:
        server.stop()
        thread.join(STOP_TIMEOUT_S)


def main(
    create_application: Callable[[argparse.Namespace], Application],
    parser: argparse.ArgumentParser,
    threads: int = 64,
) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    args = parser.parse_args()
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    with serve_in_background(
        args.host, args.port, create_application(args), threads
    ):
        print('ready', flush=True)
        stop.wait()
