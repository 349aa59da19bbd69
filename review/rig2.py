"""Starts a small deployment on loopback addresses for a case's script.

The daemons run with the command, the template of the settings and the build
of the deploy file. Ports are free ones; files are in a temporary folder. The
record goes to ``record.txt`` in the folder of the case.
"""

import contextlib
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

__all__ = ['Deployment', 'Record', 'run_case', 'send']

ROOT = pathlib.Path(__file__).resolve().parent.parent
STANDINS = pathlib.Path(__file__).resolve().parent / 'standins2.py'
START_TIMEOUT_S = 25.0
# A script may last 120 s.
LONGEST_S = 116
KEY = 'key-of-tenant-one'
HOST = 'trainer.example'

# Values of a small deployment; those of the sheets.
BOUNDS = {
    'contactMs': 4000,
    'drainMs': 2500,
    'graceS': 8,
    'configMs': 2500,
    'revokeMs': 5000,
    'leaseMs': 3000,
    'reportWindowS': 5,
    'usageLateS': 10,
    'statusS': 120,
    'cancelMs': 3000,
    'settleMs': 1000,
}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 33554432,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}
ZONES = {'marmara-a': 'marmara', 'marmara-b': 'marmara', 'ege-a': 'ege'}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', buffering=1)
        self.started_at = time.time()
        self.lock = threading.Lock()

    def add(self, text):
        """Write one line."""
        with self.lock:
            seconds = time.time() - self.started_at
            self.file.write(f'{seconds:8.3f} {text}\n')
            print(f'{seconds:8.3f} {text}', flush=True)

    def add_events(self, name, events, limit=400):
        """Write the events that a stand-in logged."""
        with self.lock:
            self.file.write(f'--- {name}: {len(events)} events\n')
            for event in events[:limit]:
                fields = {
                    k: v for k, v in event.items() if k not in ('t', 'event')
                }
                seconds = event['t'] - self.started_at
                text = json.dumps(fields)[:300]
                self.file.write(f'{seconds:8.3f} {event["event"]} {text}\n')


def find(scopes, name):
    """Return the value of a dotted name in the innermost scope that has it."""
    if name == '.':
        return scopes[0]
    for scope in scopes:
        value = scope
        try:
            for part in name.split('.'):
                key = int(part) if isinstance(value, list) else part
                value = value[key]
        except (KeyError, IndexError, TypeError):
            continue
        return value
    return None


def text_of(value):
    """Return a value as text."""
    if value is None:
        return ''
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ','.join(map(str, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scopes, key='', is_last=True):
    """Fill the template of the settings in, as the platform does."""

    def section(match):
        value = find(scopes, match.group(1))
        pairs = value.items() if isinstance(value, dict) else []
        entries = list(pairs or enumerate(value or []))
        return ''.join(
            render(
                match.group(2),
                [entry, *scopes],
                name,
                number == len(entries) - 1,
            )
            for number, (name, entry) in enumerate(entries)
        )

    def placeholder(match):
        name, _, form = match.group(1).partition('|')
        if name == '@':
            return str(key)
        if name == ',':
            return '' if is_last else ','
        value = find(scopes, name)
        return json.dumps(value) if form == 'json' else text_of(value)

    text = re.sub(
        r'{{#([\w.]+)}}(.*?){{/\1}}', section, template, flags=re.DOTALL
    )
    return re.sub(r'{{([^}]+)}}', placeholder, text)


class Deployment:
    """Processes of one run of a case."""

    def __init__(self, folder, bounds=None, cloud=True):
        self.folder = pathlib.Path(folder)
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.children = {}
        self.fronts = {}
        net = os.getpid()
        self.prefix = f'127.{1 + net // 250 % 250}.{net % 250}'
        self.ports = self.free_ports(5)
        self.store = self.standin('store', 'store', f'{self.prefix}.1')
        self.cloud = self.standin('cloud', 'cloud', f'{self.prefix}.2')
        self.wait_started('store', 'cloud')

    def free_ports(self, count):
        """Return ports that are free on all addresses of this run."""
        ports = []
        for port in range(12_000 + os.getpid() % 500 * 20, 32_000):
            with contextlib.ExitStack() as stack:
                try:
                    for last in range(1, 60):
                        probe = stack.enter_context(socket.socket())
                        probe.bind((f'{self.prefix}.{last}', port))
                except OSError:
                    continue
            ports.append(port)
            if len(ports) == count:
                return ports
        raise CannotRun('no free ports')

    def spawn(self, name, command, env=None):
        """Start a process with its output in a file."""
        with open(self.folder / f'{name}.out', 'ab') as out:
            self.children[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                env=env,
                start_new_session=True,
            )

    def standin(self, name, role, host, **options):
        """Start a stand-in; return its address."""
        command = [sys.executable, str(STANDINS), role, '--host', host]
        command += ['--port', str(self.ports[0])]
        command += ['--log', str(self.folder / f'{name}.log')]
        for option, value in options.items():
            command += [f'--{option.replace("_", "-")}', str(value)]
        self.spawn(name, command)
        return f'{host}:{self.ports[0]}'

    def replica(self, name, number, service, zone, **options):
        """Start a replica that registers itself."""
        self.standin(
            name,
            'replica',
            f'{self.prefix}.{number}',
            id=name,
            service=service,
            zone=zone,
            store=self.store,
            **options,
        )

    def front(self, name, number, zone, memory_mb=300, first=True):
        """Start a daemon with the command of the deploy file."""
        ip = f'{self.prefix}.{number}'
        role = self.deploy['roles']['front']
        _, front, ready, peers, metrics = self.ports
        control = front
        self.fronts[name] = (ip, zone, memory_mb)
        values = {
            'node': name,
            'ip': ip,
            'zone': zone,
            'zones': ZONES,
            'listen': {'front': f'{ip}:{front}', 'ready': f'{ip}:{ready}'},
            'portRange': [peers, metrics],
            'seeds': [f'{self.prefix}.{n}:{control}' for n in (11, 12, 13)],
            'bootstrap': first,
            'limits': {'cpuShare': 0.537, 'cores': 2, 'memoryMb': memory_mb},
            'bounds': self.bounds,
            'platform': {'address': self.store},
            'cloud': {'address': self.cloud},
        }
        template = (ROOT / role['template']).read_text()
        path = self.folder / f'{name}.toml'
        path.write_text(render(template, [values]))
        command = role['run'].split()
        command[0] = sys.executable if command[0] == 'python3' else command[0]
        env = {
            k: os.environ[k]
            for k in ('PATH', 'HOME', 'LANG')
            if k in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['CHESTNUTSHUNT_BOOT'] = str(path)
        self.spawn(name, command, env)

    def address(self, name):
        """Return the callers' address of a daemon."""
        return f'{self.fronts[name][0]}:{self.ports[1]}'

    def is_ready(self, name):
        """Return whether a daemon reports that it is ready."""
        address = f'{self.fronts[name][0]}:{self.ports[2]}'
        try:
            return send(address, 'GET', '/v1/ready', timeout_s=1.0)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self):
        """Wait until all daemons are ready."""
        self.wait(
            lambda: all(self.is_ready(name) for name in self.fronts),
            'daemons ready',
        )

    def wait_started(self, *names):
        """Wait until stand-ins have started."""
        self.wait(
            lambda: all(
                any(e['event'] == 'started' for e in self.events(name))
                for name in names
            ),
            f'{names} started',
        )

    def wait(self, condition, description, timeout_s=START_TIMEOUT_S):
        """Poll until a condition holds; raise `CannotRun` after a timeout."""
        end_at = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_at:
                raise CannotRun(f'not within {timeout_s} s: {description}')
            time.sleep(0.05)

    def events(self, name):
        """Return the events that a stand-in logged."""
        path = self.folder / f'{name}.log'
        if not path.exists():
            return []
        lines = path.read_text().split('\n')
        return [json.loads(line) for line in lines[:-1]]

    def kill(self, name, number=signal.SIGKILL):
        """Send a signal to a process of this run."""
        self.children[name].send_signal(number)

    def configure(self, routes, services, tenants=None):
        """Write the first configuration, as the operator does."""
        spec = {
            'version': 1,
            'routes': routes,
            'services': services,
            'limits': LIMITS,
            'tenants': tenants
            or [{'name': 'tenant-one', 'apiKeys': [KEY], 'priority': 1}],
        }
        value = {'metadata': {'name': 'main'}, 'spec': spec}
        status, _, _ = send(
            self.store,
            'POST',
            '/v1/objects/config',
            json.dumps(value).encode(),
        )
        if status != 201:
            raise CannotRun(f'configuration refused: {status}')

    def close(self):
        """End all processes of this run."""
        for child in self.children.values():
            if child.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    child.send_signal(signal.SIGCONT)
                    child.kill()
        for child in self.children.values():
            child.wait(10)


def send(address, method, path, body=b'', headers=None, timeout_s=10.0):
    """Send a request on a new connection; return status, headers, body."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout_s)
    connection.timeout = timeout_s
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def run_case(folder, play, **options):
    """Play a case and exit with 1 if the rule was broken, 0 if it held.

    `play` gets the deployment, the record and whether the disruption is to
    be made; it returns the list of what broke the rule.
    """

    def stop(number, frame):
        raise CannotRun(f'ended by signal {number}')

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(LONGEST_S)
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.add(f'disruption: {"made" if trouble else "left out"}')
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        deployment = None
        try:
            deployment = Deployment(temporary, **options)
            broken = play(deployment, record, trouble)
            for line in broken:
                record.add(f'BROKEN: {line}')
            code = 1 if broken else 0
        except CannotRun as exc:
            record.add(f'could not run: {exc}')
        except Exception:
            record.add(f'could not run: {traceback.format_exc()}')
        finally:
            if deployment is not None:
                deployment.close()
                for name in deployment.children:
                    record.add_events(name, deployment.events(name))
                if keep := os.environ.get('KEEP_LOGS'):
                    subprocess.run(['cp', '-r', temporary, keep], check=False)
    record.add({0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.exit(code)
