"""A late order reaches an engine that has started again meanwhile."""

import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

import rig3

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FOLDER = pathlib.Path(__file__).resolve().parent
MODEL = 'daka510000'
ENGINES = 2
ITEMS = 12
EVENTS = 40
# Page: an order without a response may be carried out 2 to 12 s later.
LATE_S = 11.0
DOWN_S = 1.0


class Proxy:
    """Forwards connections; can hold one order back."""

    def __init__(self, target: str, record: rig3.Record) -> None:
        self.target = target
        self.record = record
        self.armed = False
        self.delivered = threading.Event()
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections."""
        while True:
            client, _ = self.listener.accept()
            threading.Thread(
                target=self.forward, args=(client,), daemon=True
            ).start()

    def connect(self) -> socket.socket:
        """Connect to the engine."""
        host, _, port = self.target.partition(':')
        return socket.create_connection((host, int(port)), 1.0)

    def forward(self, client: socket.socket) -> None:
        """Forward one connection in both directions."""
        try:
            server = self.connect()
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(
            target=self.copy, args=(server, client), daemon=True
        ).start()
        self.copy(client, server, True)

    def copy(
        self,
        source: socket.socket,
        sink: socket.socket,
        is_request: bool = False,
    ) -> None:
        """Copy one direction to its end."""
        try:
            while data := source.recv(65536):
                if is_request and self.armed and b'POST /v1/order' in data:
                    self.armed = False
                    while not data.rstrip().endswith(b'}'):
                        data += source.recv(65536)
                    self.hold(data)
                    continue
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def hold(self, data: bytes) -> None:
        """Deliver an order late, in a thread of its own."""
        body = data.rpartition(b'\r\n\r\n')[2].decode()
        self.record.add(f'order held back: {body}')

        def deliver() -> None:
            time.sleep(LATE_S)
            with self.connect() as server:
                server.sendall(data)
                answer = server.recv(65536).split(b'\r\n')[0].decode()
            self.record.add(f'order delivered late: {answer}')
            self.delivered.set()

        threading.Thread(target=deliver, daemon=True).start()


class Engine:
    """One engine process behind a proxy."""

    def __init__(
        self, number: int, store: str, runs: pathlib.Path, record: rig3.Record
    ) -> None:
        self.id = f'i-7f3a91c{number}'
        self.address = f'127.0.0.1:{rig3.free_port(["127.0.0.1"])}'
        self.proxy = Proxy(self.address, record)
        self.store = store
        self.runs = runs
        self.process: subprocess.Popen | None = None

    def start(self, weights: int) -> None:
        """Start the process with the weights that it had."""
        self.process = subprocess.Popen(
            [
                sys.executable,
                '../replica3.py',
                *('--id', self.id, '--address', self.address),
                *('--public', self.proxy.address, '--store', self.store),
                *('--service', 'huvo11a', '--record', str(self.runs)),
                *('--model', MODEL, '--weights', str(weights)),
                *('--events', str(EVENTS)),
            ]
        )

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


def name_version(store: rig3.Store, record: rig3.Record, number: int) -> None:
    """Name a version as a trainer does."""
    store.write('versions', MODEL, {'model': MODEL, 'version': number})
    record.add(f'trainer named version {number}')


def weights(store: rig3.Store, engine: Engine) -> int:
    """Return the version that an engine has registered."""
    found = store.kinds.get('servers', {}).get(engine.id)
    return found['spec']['models'][0]['version'] if found else 0


def submit(daemon: rig3.Daemon, minimum: int) -> str:
    """Submit a batch job; return its id."""
    job = {
        'step': 3,
        'model': MODEL,
        'minVersion': minimum,
        'desired': 3,
        'items': [
            {
                'id': f'e5b2907c14da6f{number:02x}',
                'path': f'/pule252/3/{number}',
                'headers': {
                    'X-Model': MODEL,
                    'X-Token-Count': '540,400',
                    'X-Prompt-Prefix': f'9c2e41:300,5d07b{number:x}:240',
                },
                'body': base64.b64encode(b'prompt').decode(),
                'tokens': 940,
                'group': f'g{number // 4}',
            }
            for number in range(ITEMS)
        ],
    }
    job_id = '7c41e09b52d6a3f8'
    headers = {
        'Host': rig3.HOST,
        'Authorization': f'Bearer {rig3.KEY}',
        'X-Request-Id': job_id,
        'Content-Type': 'application/json',
    }
    body = json.dumps(job).encode()
    status, _, _ = rig3.call(
        daemon.front, 'POST', '/pule252/7c41e0', headers, body
    )
    if status != 202:
        raise RuntimeError(f'batch job answered {status}')
    return job_id


def read_all(daemon: rig3.Daemon, job_id: str) -> list[dict]:
    """Read results until all are there."""
    headers = {
        'Host': rig3.HOST,
        'Authorization': f'Bearer {rig3.KEY}',
        'X-Wait-Ms': '1000',
    }
    results: list[dict] = []
    end_at = time.monotonic() + 40
    while len(results) < ITEMS and time.monotonic() < end_at:
        path = f'/v1/lots/{job_id}?after={len(results)}'
        status, body, _ = rig3.call(daemon.front, 'GET', path, headers)
        if status == 200:
            results += json.loads(body)['results']
        time.sleep(0.3)
    return results


def play(folder: pathlib.Path, record: rig3.Record) -> bool:
    """Run the case; return whether the rule was broken."""
    store = rig3.Store()
    runs = folder / 'runs.jsonl'
    route = {
        'name': 'r-a',
        'host': rig3.HOST,
        'pathPrefix': '/pule252/',
        'kind': 'rollout',
        'timeoutMs': 10000,
        'goalMs': 500,
        'dueMs': 7500,
        'itemTtlS': 40,
        'priority': 1,
        'maxAttempts': 3,
        'service': 'huvo11a',
        'public': False,
    }
    service = {
        'name': 'huvo11a',
        'healthPath': '/health',
        'maxConns': 160,
        'engine': {'slots': 12, 'models': [{'name': MODEL}]},
    }
    store.write('config', 'main', rig3.config(2, [route], [service]))
    engines = [
        Engine(number, store.address, runs, record)
        for number in range(ENGINES)
    ]
    struck = engines[0]
    try:
        for engine in engines:
            engine.start(1)
        with rig3.run_cluster(folder, store, 3) as daemons:
            rig3.wait_until(
                lambda: all(weights(store, x) == 1 for x in engines),
                10,
                'engines registered',
            )
            time.sleep(4.0)
            struck.proxy.armed = TROUBLE
            held_at = time.monotonic()
            for number in (2, 3):
                name_version(store, record, number)
                rig3.wait_until(
                    lambda v=number: all(
                        weights(store, x) == v for x in engines
                    ),
                    12,
                    f'version {number} on all engines',
                )
                record.add(f'version {number} is on all engines')
            if TROUBLE:
                struck.process.send_signal(signal.SIGKILL)
                struck.process.wait()
                record.add(f'{struck.id} crashed')
                time.sleep(DOWN_S)
                struck.start(3)
                record.add(f'{struck.id} started again with version 3')
            time.sleep(max(held_at + LATE_S - 0.8 - time.monotonic(), 1.5))
            job_id = submit(daemons[0], 3)
            record.add(f'batch job {job_id} accepted, minVersion 3')
            results = read_all(daemons[1], job_id)
            if TROUBLE and not struck.proxy.delivered.wait(5):
                raise RuntimeError('the order was not delivered')
    finally:
        for engine in engines:
            engine.end()
    broken = False
    for found in results:
        record.add(
            f'result {found["id"]} {found["state"]} '
            f'versions {found.get("versions")}'
        )
        versions = found.get('versions') or [3]
        broken |= found['state'] == 'complete' and min(versions) < 3
    for line in runs.read_text().splitlines():
        value = json.loads(line)
        if 'event' not in value:
            record.add(f'engine: {line}')
    if len(results) < ITEMS:
        raise RuntimeError(f'{len(results)} results of {ITEMS}')
    return broken


def main() -> int:
    """Run the case; return the exit code."""
    record = rig3.Record(FOLDER / 'record.txt')
    record.add(f'TROUBLE={int(TROUBLE)}')
    try:
        with tempfile.TemporaryDirectory() as folder:
            broken = play(pathlib.Path(folder), record)
    except Exception:
        record.add(f'could not run: {traceback.format_exc()}')
        return 2
    record.add('VERSION broken' if broken else 'VERSION held')
    return int(broken)


if __name__ == '__main__':
    sys.exit(main())
