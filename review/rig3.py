"""Parts of the review's scripts: store, daemons, calls and a record."""

from collections.abc import Iterator
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any
from urllib import parse

__all__ = [
    'Daemon',
    'Record',
    'Server',
    'Store',
    'call',
    'config',
    'free_port',
    'run_cluster',
    'wait_until',
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'review.example'
KEY = 'k3y4r3v13w'
TENANT = 'hule930'
PAGE_OBJECTS = 500
PAGE_BYTES = 1_000_000
# Smaller objects don't count towards the bytes of a page.
LARGE_BYTES = 10_000

SETTINGS = """
name = "{name}"
role = "front"
datacentre = "sierra-norte"
caller_address = "{ip}:{front}"
ready_address = "{ip}:{ready}"
peer_address = "{ip}:{peer}"
metrics_address = "{ip}:{metrics}"
store_address = "{store}"
duty_address = "{store}"
revoke_s = 5000e-3
lease_s = 3000e-3
stop_s = 8
usage_window_s = 5
usage_late_s = 10
job_kept_s = 120
config_s = 2500e-3
seed_addresses = [{seeds}]
first_start = true
processor_share = 0.537
processor_count = 2
memory_mb = 150

[regions]
sierra-norte = "sierra"
"""


class Record:
    """File with one line for each thing that was sent, answered or run.

    A script that gets SIGTERM ends its processes and exits with 2.
    """

    def __init__(self, path: pathlib.Path) -> None:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.file = path.open('w')
        self.lock = threading.Lock()
        self.started_at = time.time()

    def add(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with self.lock:
            seconds = time.time() - self.started_at
            self.file.write(f'{seconds:8.3f} {text}\n')
            self.file.flush()


class Handler(http.server.BaseHTTPRequestHandler):
    """Base of the HTTP stand-ins."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *args: Any) -> None:
        """Write no log."""

    def body(self) -> bytes:
        """Return the body of the request."""
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))

    def reply(self, status: int, value: Any = None) -> None:
        """Send a JSON response."""
        data = b'' if value is None else json.dumps(value).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(http.server.ThreadingHTTPServer):
    """Server with a thread for each connection."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Say nothing about connections that were reset."""


class StoreHandler(Handler):
    """Calls of the platform's store and of the duties."""

    def answer(self) -> None:
        """Serve one call."""
        url = parse.urlsplit(self.path)
        query = dict(parse.parse_qsl(url.query))
        data = self.body()
        value = json.loads(data) if data else None
        store: Store = self.server.store
        if not url.path.startswith('/v1/objects/'):
            self.reply(200)
            return
        parts = [parse.unquote(x) for x in url.path.split('/')[3:]]
        self.reply(*store.execute(self.command, parts, query, value))

    do_GET = do_POST = do_PUT = do_DELETE = answer


class Store:
    """The platform's metadata store, by PROTOCOL.md; watches are left out."""

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, dict]] = {}
        self.sizes: dict[tuple[int, str], int] = {}
        self.revision = 10
        self.lock = threading.Lock()
        self.server = Server(('127.0.0.1', 0), StoreHandler)
        self.server.store = self
        self.address = f'127.0.0.1:{self.server.server_address[1]}'
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def execute(
        self, method: str, parts: list[str], query: dict, value: Any
    ) -> tuple[int, Any]:
        """Return status and body of one call."""
        with self.lock:
            objects = self.kinds.setdefault(parts[0], {})
            if method == 'GET' and len(parts) == 1:
                return self.page(objects, query.get('after', ''))
            if method == 'POST':
                return self.create(objects, value)
            found = objects.get(parts[1])
            if found is None:
                return 404, None
            if method == 'GET':
                return 200, found
            expected = query.get('revision')
            if value is not None:
                expected = value['metadata'].get('revision')
            if expected and int(expected) != found['metadata']['revision']:
                return 409, found
            self.revision += 1
            if method == 'DELETE':
                del objects[parts[1]]
                return 200, found
            part = 'status' if len(parts) == 3 else 'spec'
            if found[part] == value[part]:
                return 200, found
            metadata = {**found['metadata'], 'revision': self.revision}
            changed = {**found, part: value[part], 'metadata': metadata}
            objects[parts[1]] = changed
            return 200, changed

    def page(self, objects: dict, after: str) -> tuple[int, Any]:
        """Return a page of a list."""
        names = sorted(name for name in objects if name > after)
        items = []
        size = 0
        for name in names[:PAGE_OBJECTS]:
            size += self.sizes.get((id(objects), name), 0)
            if items and size > PAGE_BYTES:
                break
            items.append(objects[name])
        return 200, {
            'items': items,
            'hasMore': len(names) > len(items),
            'currentRev': self.revision,
        }

    def create(self, objects: dict, value: Any) -> tuple[int, Any]:
        """Create an object unless there is one of the name."""
        name = value['metadata']['name']
        if name in objects:
            return 409, objects[name]
        size = len(json.dumps(value))
        if size > LARGE_BYTES:
            self.sizes[id(objects), name] = size
        self.revision += 1
        objects[name] = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': self.revision,
                'finalizers': [],
                'isDeleting': False,
            },
            'spec': value.get('spec'),
            'status': None,
        }
        return 201, objects[name]

    def write(self, kind: str, name: str, spec: dict) -> None:
        """Write an object as the operator, a trainer or a replica does."""
        with self.lock:
            objects = self.kinds.setdefault(kind, {})
            self.create(objects, {'metadata': {'name': name}, 'spec': spec})
            if objects[name]['spec'] != spec:
                self.revision += 1
                metadata = objects[name]['metadata']
                objects[name] = {
                    **objects[name],
                    'spec': spec,
                    'metadata': {**metadata, 'revision': self.revision},
                }


def free_port(ips: list[str]) -> int:
    """Return a port that is free on all addresses."""
    while True:
        with contextlib.ExitStack() as stack:
            port = 0
            try:
                for ip in ips:
                    sock = stack.enter_context(socket.socket())
                    sock.bind((ip, port))
                    port = sock.getsockname()[1]
            except OSError:
                continue
            return port


class Daemon:
    """One front daemon, started as the deploy file says."""

    def __init__(
        self, folder: pathlib.Path, number: int, store: str, ports: dict
    ) -> None:
        self.name = f'front-sierra-norte-{number}'
        self.ip = f'127.0.0.{10 + number}'
        self.front = (self.ip, ports['front'])
        self.ready = (self.ip, ports['ready'])
        self.settings = folder / f'{self.name}.toml'
        self.log = folder / f'{self.name}.log'
        count = ports['count']
        seeds = ', '.join(
            f'"127.0.0.{10 + n}:1"' for n in range(1, min(count, 3) + 1)
        )
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                store=store,
                seeds=seeds,
                **{k: v for k, v in ports.items() if k != 'count'},
            )
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'chestnutshunt_platform.main'],
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'CHESTNUTSHUNT_BOOT': str(self.settings),
            },
            stdout=self.log.open('ab'),
            stderr=subprocess.STDOUT,
        )

    def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        try:
            return call(self.ready, 'GET', '/v1/ready', {})[0] == 200
        except OSError:
            return False

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, bytes, dict[str, str]]:
    """Make one call on a new connection; return status, body, headers."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    except http.client.HTTPException as exc:
        raise ConnectionError(repr(exc)) from exc
    finally:
        connection.close()


def wait_until(check: Any, timeout_s: float, what: str) -> None:
    """Wait until a function returns a true value; raise if it doesn't."""
    end_at = time.monotonic() + timeout_s
    while not check():
        if time.monotonic() > end_at:
            raise RuntimeError(f'not in time: {what}')
        time.sleep(0.05)


def config(
    version: int,
    routes: list[dict],
    services: list[dict],
    keys: tuple[str, ...] = (KEY,),
) -> dict:
    """Return a configuration of the operator."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 33554432,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': list(keys), 'priority': 1}],
    }


@contextlib.contextmanager
def run_cluster(
    folder: pathlib.Path, store: Store, count: int
) -> Iterator[list[Daemon]]:
    """Run so many daemons until the context ends."""
    ips = [f'127.0.0.{10 + n}' for n in range(1, count + 1)]
    ports: dict[str, int] = {}
    for name in ('front', 'ready', 'peer', 'metrics'):
        port = free_port(ips)
        while port in ports.values():
            port = free_port(ips)
        ports[name] = port
    ports['count'] = count
    daemons = [
        Daemon(folder, number, store.address, ports)
        for number in range(1, count + 1)
    ]
    try:
        for daemon in daemons:
            daemon.start()
        wait_until(
            lambda: all(daemon.is_ready() for daemon in daemons),
            20.0,
            'daemons ready',
        )
        yield daemons
    finally:
        for daemon in daemons:
            daemon.end()
