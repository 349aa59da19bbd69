"""Stand-ins and process control for the cases of the review.

The daemons are started as the deploy file says. The store, the interface
for duties, the replicas and the clients are threads of the script.
"""

from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / 'target' / 'deps'

HOST_NAME = 'front.example'
TENANT = 'tenant-a'
KEY = 'key-of-tenant-a'

# As on the pages' sheets.
CONFIG_MS = 2500
LEASE_MS = 3000
GRACE_S = 8
REVOKE_MS = 5000

# Entries in a page of a list.
PAGE_COUNT = 500

START_TIMEOUT_S = 25.0

# A script that lasts longer ends its processes and exits with 2.
LONGEST_S = 116


class Record:
    """Writes what was sent, answered and run to ``record.txt``.

    Parameters
    ----------
    path : Path
        File to write.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open('w')
        self.lock = threading.Lock()
        self.started_at = time.monotonic()

    def add(self, event: str, **fields: Any) -> None:
        """Write one line."""
        seconds = time.monotonic() - self.started_at
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        with self.lock:
            self.file.write(f'{seconds:9.3f} {event} {text}\n')
            self.file.flush()


class Request:
    """A parsed HTTP request.

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    headers : dict
        Header fields; names in lower case.
    body : bytes
        The body.
    """

    def __init__(
        self, method: str, target: str, headers: dict, body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """Value of ``X-Request-Id``."""
        return self.headers.get('x-request-id', '')


class Closed(Exception):
    """The peer has closed the connection."""


class Connection:
    """Server side or client side of an HTTP connection.

    Parameters
    ----------
    sock : socket
        The connected socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b''
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def fill(self) -> None:
        """Read more bytes; raises `Closed` at the end."""
        data = self.sock.recv(65536)
        if not data:
            raise Closed('The peer has closed the connection.')
        self.buffer += data

    def read_line(self) -> str:
        """Read one line."""
        while b'\r\n' not in self.buffer:
            self.fill()
        line, _, self.buffer = self.buffer.partition(b'\r\n')
        return line.decode('latin-1')

    def read_exactly(self, size: int) -> bytes:
        """Read a number of bytes."""
        while len(self.buffer) < size:
            self.fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def read_headers(self) -> dict[str, str]:
        """Read header fields up to the empty line."""
        fields = {}
        while line := self.read_line():
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
        return fields

    def read_body(self, headers: dict[str, str], until_end: bool) -> bytes:
        """Read a body with a length, in chunks, or up to the end."""
        if 'chunked' in headers.get('transfer-encoding', ''):
            return b''.join(self.read_chunks())
        if 'content-length' in headers:
            return self.read_exactly(int(headers['content-length']))
        if not until_end:
            return b''
        with contextlib.suppress(Closed):
            while True:
                self.fill()
        data, self.buffer = self.buffer, b''
        return data

    def read_chunks(self) -> list[bytes]:
        """Read a chunked body to its end."""
        chunks = []
        while size := int(self.read_line().partition(';')[0], 16):
            chunks.append(self.read_exactly(size))
            self.read_line()
        while self.read_line():
            pass
        return chunks

    def read_request(self) -> Request:
        """Read one whole request."""
        method, target, _ = self.read_line().split(' ', 2)
        headers = self.read_headers()
        body = self.read_body(headers, until_end=False)
        return Request(method, target, headers, body)

    def read_answer(self) -> tuple[int, dict[str, str], bytes]:
        """Read one whole response."""
        status = int(self.read_line().split(' ')[1])
        headers = self.read_headers()
        return status, headers, self.read_body(headers, until_end=True)

    def send(
        self, status: int, headers: dict[str, str], body: bytes = b''
    ) -> None:
        """Send a response with a length."""
        fields = {**headers, 'Content-Length': str(len(body))}
        lines = ''.join(f'{key}: {value}\r\n' for key, value in fields.items())
        head = f'HTTP/1.1 {status} Status\r\n{lines}\r\n'
        self.sock.sendall(head.encode('latin-1') + body)

    def reset(self) -> None:
        """Close the connection with a reset."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class Server:
    """Serves HTTP with one thread for each connection.

    Parameters
    ----------
    ip : str
        Loopback address to listen on.
    port : int, optional
        Port; 0 for a free one.
    """

    def __init__(self, ip: str = '127.0.0.1', port: int = 0) -> None:
        self.ip = ip
        self.connections: set[Connection] = set()
        self.lock = threading.Lock()
        self.listener: socket.socket | None = None
        self.port = port
        self.listen()

    @property
    def address(self) -> str:
        """``IP:PORT`` of the server."""
        return f'{self.ip}:{self.port}'

    def listen(self) -> None:
        """Start to listen, on the former port if there was one."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.ip, self.port))
        listener.listen(128)
        self.port = listener.getsockname()[1]
        self.listener = listener
        threading.Thread(
            target=self.accept, args=(listener,), daemon=True
        ).start()

    def accept(self, listener: socket.socket) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            connection = Connection(sock)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(
                target=self.serve, args=(connection,), daemon=True
            ).start()

    def serve(self, connection: Connection) -> None:
        """Serve the requests of one connection."""
        try:
            while True:
                self.handle(connection.read_request(), connection)
        except (Closed, OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            with contextlib.suppress(OSError):
                connection.sock.close()

    def handle(self, request: Request, connection: Connection) -> None:
        """Answer one request."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening and close all connections, as a crash does."""
        listener, self.listener = self.listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            connection.reset()


class Platform(Server):
    """The platform's store, and the interface for duties.

    Parameters
    ----------
    record : Record
        Receives the calls of duties.

    Attributes
    ----------
    duty_calls : list of tuple
        Time, path, holder, fencing token and body of each call.
    changed_at : dict of str to float
        Time of the last accepted write, by kind.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 10
        self.objects: dict[str, dict[str, dict]] = {}
        self.store_lock = threading.Lock()
        self.duty_calls: list[tuple[float, str, str, int, Any]] = []
        self.changed_at: dict[str, float] = {}
        super().__init__()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a replica does."""
        with self.store_lock:
            kept = self.objects.setdefault(kind, {})
            self.revision += 1
            kept[name] = {
                'metadata': {
                    'name': name,
                    'revision': self.revision,
                    'created': self.revision,
                    'finalizers': [],
                    'isDeleting': False,
                },
                'spec': spec,
                'status': None,
            }
            return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.store_lock:
            self.revision += 1
            self.objects.get(kind, {}).pop(name, None)

    def handle(self, request: Request, connection: Connection) -> None:
        """Answer a call."""
        path, _, query = request.target.partition('?')
        parts = path.strip('/').split('/')
        value = json.loads(request.body) if request.body else None
        if parts[0] in ('usage', 'scale'):
            self.note_duty_call(request, parts[0], value)
            status, answer = 200, {}
        else:
            fields = dict(
                pair.split('=', 1) for pair in query.split('&') if pair
            )
            with self.store_lock:
                before = self.revision
                status, answer = self.call(
                    request.method, parts[2], parts[3:], fields, value
                )
                if self.revision > before:
                    self.changed_at[parts[2]] = time.monotonic()
        body = json.dumps(answer).encode()
        connection.send(status, {'Content-Type': 'application/json'}, body)

    def note_duty_call(self, request: Request, path: str, value: Any) -> None:
        """Record a call of a duty."""
        holder = request.headers.get('x-duty-holder', '')
        fence = int(request.headers.get('x-fence-token', '0'))
        self.duty_calls.append((time.monotonic(), path, holder, fence, value))
        self.record.add('duty', path=path, holder=holder, fence=fence)

    def call(
        self,
        method: str,
        kind: str,
        names: list[str],
        fields: dict[str, str],
        value: Any,
    ) -> tuple[int, Any]:
        """Execute a store call; the caller holds the lock."""
        kept = self.objects.setdefault(kind, {})
        if method == 'GET' and not names:
            return 200, self.page(kept, fields.get('after', ''))
        if method == 'POST':
            return self.create(kept, value)
        found = kept.get(names[0])
        if found is None:
            return 404, {}
        if method == 'GET':
            return 200, found
        expected = fields.get('revision')
        if value:
            expected = (value.get('metadata') or {}).get('revision')
        if expected and int(expected) != found['metadata']['revision']:
            return 409, found
        if method == 'DELETE':
            self.revision += 1
            del kept[names[0]]
            return 200, found
        part = 'status' if names[1:] == ['status'] else 'spec'
        if found[part] != value.get(part):
            self.revision += 1
            metadata = {**found['metadata'], 'revision': self.revision}
            kept[names[0]] = {
                **found,
                part: value.get(part),
                'metadata': metadata,
            }
        return 200, kept[names[0]]

    def page(self, kept: dict[str, dict], after: str) -> dict[str, Any]:
        """Return one page of a list."""
        names = sorted(name for name in kept if name > after)
        return {
            'items': [kept[name] for name in names[:PAGE_COUNT]],
            'hasMore': len(names) > PAGE_COUNT,
            'currentRev': self.revision,
        }

    def create(self, kept: dict[str, dict], value: Any) -> tuple[int, Any]:
        """Create an object unless it exists."""
        name = value['metadata']['name']
        if name in kept:
            return 409, kept[name]
        self.revision += 1
        kept[name] = {
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
        return 201, kept[name]


class Daemon:
    """A front daemon, started with the command of the deploy file.

    Parameters
    ----------
    number : int
        Number of the daemon, from 1.
    site : Site
        Where it runs.
    """

    def __init__(self, number: int, site: 'Site') -> None:
        self.name = f'front-zone-a-{number}'
        self.ip = site.ips[number - 1]
        self.caller = f'{self.ip}:{site.ports[0]}'
        self.ready = f'{self.ip}:{site.ports[1]}'
        self.site = site
        self.path = site.folder / f'{self.name}.toml'
        seeds = json.dumps([f'{ip}:{site.ports[3]}' for ip in site.ips[:3]])
        self.path.write_text(
            f'name = "{self.name}"\n'
            'role = "front"\n'
            'datacentre = "zone-a"\n'
            f'caller_address = "{self.caller}"\n'
            f'ready_address = "{self.ready}"\n'
            f'peer_address = "{self.ip}:{site.ports[2]}"\n'
            f'metrics_address = "{self.ip}:{site.ports[4]}"\n'
            f'store_address = "{site.platform.address}"\n'
            f'duty_address = "{site.platform.address}"\n'
            f'revoke_s = {REVOKE_MS}e-3\n'
            f'lease_s = {LEASE_MS}e-3\n'
            f'stop_s = {GRACE_S}\n'
            'usage_window_s = 5\n'
            'usage_late_s = 10\n'
            'job_kept_s = 120\n'
            f'config_s = {CONFIG_MS}e-3\n'
            f'seed_addresses = {seeds}\n'
            'first_start = true\n'
            'processor_share = 0.537\n'
            'processor_count = 2\n'
            '[regions]\n'
            'zone-a = "region-a"\n'
        )
        self.child: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(DEPENDENCIES)
        environment['CHESTNUTSHUNT_BOOT'] = str(self.path)
        with open(self.site.folder / f'{self.name}.log', 'ab') as log:
            self.child = subprocess.Popen(
                [sys.executable, '-m', 'chestnutshunt_platform.main'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.site.record.add('start', daemon=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.site.record.add(
            'signal', daemon=self.name, signal=signal.Signals(number).name
        )
        self.child.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        with contextlib.suppress(OSError, Closed, ValueError):
            return call(self.ready, 'GET', '/v1/ready')[0] == 200
        return False

    def close(self) -> None:
        """End the process."""
        if self.child.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait(10)


class Site:
    """A small deployment on loopback addresses.

    Parameters
    ----------
    folder : Path
        Folder of the case, for ``record.txt``.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        rng = random.Random(os.getpid())
        block = f'127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}'
        self.ips = [f'{block}.{last}' for last in range(1, 9)]
        self.ports = [free_port(self.ips[0]) for _ in range(5)]
        self.platform = Platform(self.record)
        self.daemons: list[Daemon] = []
        self.servers: list[Server] = []

    def configure(
        self, version: int, routes: list[dict], services: list[dict]
    ) -> None:
        """Write a configuration; the call's return acknowledges it."""
        self.platform.put(
            'config',
            'main',
            {
                'version': version,
                'routes': routes,
                'services': services,
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 33554432,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
                'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
            },
        )
        self.record.add('configuration', version=version)

    def start_daemons(self, count: int) -> None:
        """Start daemons and wait until they are ready."""
        for number in range(1, count + 1):
            self.daemons.append(Daemon(number, self))
        wait_until(lambda: all(d.is_ready() for d in self.daemons))

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for daemon in self.daemons:
            daemon.close()
        for server in [*self.servers, self.platform]:
            server.close()
        if os.environ.get('KEEP_LOGS') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)


def free_port(ip: str) -> int:
    """Return a port of an address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def wait_until(
    condition: Callable[[], Any], timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition is true; raises `TimeoutError`."""
    end_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_at:
            raise TimeoutError('The condition has not become true.')
        time.sleep(0.02)


def connect(address: str, timeout_s: float = 5.0) -> Connection:
    """Open a connection to ``IP:PORT``."""
    ip, _, port = address.rpartition(':')
    return Connection(socket.create_connection((ip, int(port)), timeout_s))


def encode(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of a request with a length."""
    fields = {**headers, 'Content-Length': str(len(body))}
    lines = ''.join(f'{key}: {value}\r\n' for key, value in fields.items())
    head = f'{method} {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n{lines}\r\n'
    return head.encode('latin-1') + body


def client_headers(request_id: str, deadline_ms: int = 3000) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {KEY}',
    }


def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection and return the response."""
    connection = connect(address, timeout_s)
    try:
        connection.sock.sendall(encode(method, target, headers or {}, body))
        return connection.read_answer()
    finally:
        connection.sock.close()


def run_case(
    folder: pathlib.Path, case: Callable[[Site, bool], bool], trouble: bool
) -> None:
    """Run a case and exit with its status.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    case : callable
        Gets the deployment, and whether the disruption is to be played;
        returns whether the rule held.
    trouble : bool
        Whether the disruption is to be played.
    """
    status = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    signal.signal(signal.SIGALRM, lambda *_: sys.exit(2))
    signal.alarm(LONGEST_S)
    site = None
    try:
        site = Site(folder)
        held = case(site, trouble)
        status = 0 if held else 1
        site.record.add('result', held=held, trouble=trouble)
    except Exception as exc:
        print(f'The case could not run: {exc!r}', file=sys.stderr)
    finally:
        if site is not None:
            site.close()
    sys.exit(status)
