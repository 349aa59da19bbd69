"""Starts daemons and stand-ins as separate processes.

Used by tests, benchmarks and the demo only.
"""

from collections.abc import Iterator
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import urllib3

from chestnutshunt.admission import credential
from chestnutshunt.config import editor
from chestnutshunt.store import adapter
from chestnutshunt.store import object_store

__all__ = [
    'HOST',
    'Cluster',
    'Daemon',
    'Process',
    'Standin',
    'cluster',
    'free_address',
]

HTTP = urllib3.PoolManager(retries=False, timeout=20.0, maxsize=128)
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10
POLL_INTERVAL_S = 0.01
# Below the ephemeral range, from which outgoing connections take their ports.
FIRST_PORT = 10_000
LAST_PORT = 32_000


def loopback_host(pid):
    """Return a loopback address that is unique to a process id.

    Each run listens on its own address, so that concurrent runs cannot take
    each other's ports.
    """
    third, last = divmod(pid, 250)
    second, third = divmod(third, 250)
    return f'127.{1 + second % 250}.{third}.{1 + last}'


HOST = loopback_host(os.getpid())

PORTS = itertools.cycle(range(FIRST_PORT, LAST_PORT))


def free_port():
    """Return a port of this run's address that nothing listens on.

    Ports are returned in turn, so that none is returned again before its
    first user has bound it.
    """
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


def free_address():
    """Return an ``IP:PORT`` that nothing listens on."""
    return f'{HOST}:{free_port()}'


def wait_until(condition, description, timeout_s=START_TIMEOUT_S):
    """Poll a condition until it is true and return its value.

    The timeout only bounds a failing run.

    Raises
    ------
    AssertionError
        The condition was not true within the timeout.
    """
    end_at = time.monotonic() + timeout_s
    while time.monotonic() < end_at:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f'not true within {timeout_s} s: {description}')


class Process:
    """A child process, signalled by its own process id only."""

    def __init__(self, arguments, log_path):
        """Start ``python -m`` with its output appended to a file."""
        self.log_path = log_path
        with open(log_path, 'ab') as log:
            self.child = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def kill(self):
        """Kill the process and wait until it has ended."""
        self.child.kill()
        self.child.wait(STOP_TIMEOUT_S)

    def freeze(self):
        """Suspend the process with SIGSTOP."""
        os.kill(self.child.pid, signal.SIGSTOP)

    def thaw(self):
        """Resume a suspended process with SIGCONT."""
        os.kill(self.child.pid, signal.SIGCONT)

    def terminate(self):
        """Ask the process to end with SIGTERM."""
        self.child.terminate()

    def ended(self):
        """Tell whether the process has ended."""
        return self.child.poll() is not None

    def close(self):
        """Kill the process if it is still running, also if suspended."""
        if not self.ended():
            with contextlib.suppress(ProcessLookupError):
                self.thaw()
            self.child.kill()
            self.child.wait(STOP_TIMEOUT_S)


class Standin(Process):
    """A stand-in process and a client of its HTTP interface."""

    def __init__(self, module, folder, name, *arguments):
        """Start a stand-in and wait until it answers requests."""
        self.port = free_port()
        self.name = name
        self.address = f'{HOST}:{self.port}'
        self.url = f'http://{self.address}'
        super().__init__(
            [
                f'chestnutshunt_standins.{module}',
                '--host',
                HOST,
                '--port',
                str(self.port),
                *arguments,
            ],
            folder / f'{name}.log',
        )
        wait_until(self.is_answering, f'{name} answers')

    def is_answering(self):
        """Tell whether the stand-in answers requests."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return HTTP.request('GET', self.url + '/log').status == 200
        return False

    def set_faults(self, **faults):
        """Update the fault settings; the others keep their values."""
        HTTP.request('POST', self.url + '/faults', body=json.dumps(faults))

    def log(self, event=None):
        """Return the logged events, all or those of one kind."""
        entries = HTTP.request('GET', self.url + '/log').json()
        return [e for e in entries if event in (None, e['event'])]


class Daemon(Process):
    """A daemon process and a client of its caller and admin interfaces."""

    def __init__(self, cluster, name, datacentre, seeds, **overrides):
        """Write the settings file and start the daemon."""
        self.name = name
        self.caller, self.peer, self.admin = (free_address() for _ in range(3))
        values = {
            'name': name,
            'datacentre': datacentre,
            'caller_address': self.caller,
            'peer_address': self.peer,
            'admin_address': self.admin,
            'platform_url': cluster.platform_url,
            'seeds': seeds,
            'heartbeat_s': 0.2,
            'lease_s': 2.0,
            'debug_steps': True,
            'threads': 64,
            **overrides,
        }
        path = cluster.folder / f'{name}.toml'
        path.write_text(to_toml(values))
        super().__init__(
            ['chestnutshunt_daemon.main', 'run', str(path)],
            cluster.folder / f'{name}.log',
        )

    def get(self, path):
        """Send a GET request to the admin interface."""
        return HTTP.request('GET', f'http://{self.admin}{path}')

    def ready(self):
        """Tell whether the daemon reports that it is ready for callers."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self.get('/readyz').status == 200
        return False

    def dump(self):
        """Return the state dump of the daemon."""
        return self.get('/dump').json()

    def live_peers(self):
        """Return the names of the peers that the daemon considers live."""
        return {p['name'] for p in self.dump()['peers'] if p['live']}

    def arm(self, step):
        """Make the daemon block when it reaches a step gate."""
        self.get(f'/steps/{step}?action=arm')

    def release(self, step):
        """Let the daemon continue past a step gate."""
        self.get(f'/steps/{step}?action=release')

    def wait_step(self, step):
        """Wait until the daemon blocks at a step gate."""
        reply = self.get(f'/steps/{step}?timeout=20').json()
        assert reply['reached'], f'{self.name} did not reach step gate {step}'

    def call(self, path, body=b'', key='', headers=None, method='POST'):
        """Send a request to the caller interface."""
        all_headers = dict(headers or {})
        if key:
            all_headers['Authorization'] = f'Bearer {key}'
        return HTTP.request(
            method,
            f'http://{self.caller}{path}',
            body=body,
            headers=all_headers,
        )


class Cluster:
    """A platform stand-in, targets and daemons with files in one folder."""

    def __init__(self, folder: pathlib.Path, stack: contextlib.ExitStack):
        """Start the platform stand-in and connect to it."""
        self.folder = folder
        self.stack = stack
        self.platform = self.standin('platform', 'platform')
        self.platform_url = self.platform.url
        connection = adapter.connect(self.platform_url)
        self.client = connection.store
        self.duties = connection.duties
        self.editor = editor.Editor(self.client)
        self.daemons = []
        self.targets = []

    def standin(self, module, name, *arguments):
        """Start a stand-in that is closed with the cluster."""
        standin = Standin(module, self.folder, name, *arguments)
        self.stack.callback(standin.close)
        return standin

    def target(self, module, service, datacentre, name, *arguments, **fields):
        """Start a stand-in and register it as a running target."""
        standin = self.standin(module, name, '--name', name, *arguments)
        self.targets.append(standin)
        value = {
            'service': service,
            'address': standin.address,
            'datacentre': datacentre,
            'state': 'running',
            **fields,
        }
        self.client.put('target', name, value, object_store.ABSENT).unwrap()
        return standin

    def daemon(self, name, datacentre='marmara-a', **overrides):
        """Start a daemon whose seeds are the daemons started before it."""
        seeds = [earlier.peer for earlier in self.daemons]
        daemon = Daemon(self, name, datacentre, seeds, **overrides)
        self.stack.callback(daemon.close)
        self.daemons.append(daemon)
        return daemon

    def wait_ready(self):
        """Wait until all daemons are ready and see each other as live."""
        for daemon in self.daemons:
            wait_until(daemon.ready, f'{daemon.name} is ready')
        names = {daemon.name for daemon in self.daemons}
        for daemon in self.daemons:
            wait_until(
                lambda d=daemon: d.live_peers() >= names - {d.name},
                f'{daemon.name} sees its peers as live',
            )
        self.wait_config()

    def wait_config(self):
        """Wait until all running daemons have the newest revision."""
        revision = self.client.list_followed().unwrap().revision
        for daemon in self.daemons:
            wait_until(
                lambda d=daemon: (
                    d.ended() or d.dump()['config']['revision'] >= revision
                ),
                f'{daemon.name} has revision {revision}',
            )

    def workspace(self, name, **settings):
        """Create a workspace and return the token of a new key."""
        self.editor.set(f'workspaces/{name}', settings)
        return self.key(name)

    def key(self, workspace):
        """Create a key of a workspace and return its token."""
        new_key = credential.Credential.create(workspace)
        self.editor.set(
            f'workspaces/{workspace}/keys/{new_key.key_id}',
            {'salt': new_key.salt, 'digest': new_key.digest},
        )
        return new_key.token


@contextlib.contextmanager
def cluster(folder) -> Iterator[Cluster]:
    """Run a cluster; its processes end with the context."""
    with contextlib.ExitStack() as stack:
        yield Cluster(pathlib.Path(folder), stack)


def to_toml(values):
    """Encode a flat table as TOML, whose literals here are those of JSON."""
    return ''.join(
        f'{name} = {json.dumps(value)}\n' for name, value in values.items()
    )
