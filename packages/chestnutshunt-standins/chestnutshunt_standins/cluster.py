"""Starts daemons and stand-ins as separate processes.

For tests, benchmarks and the demo; nothing of the product uses it.
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
START_LIMIT = 30.0
FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Below the range from which outgoing connections take their ports."""


def loopback_host(pid):
    """Return a loopback address that no other running process has.

    Each run listens on an address of its own, so two runs beside each other
    cannot take each other's ports.
    """
    third, last = divmod(pid, 250)
    second, third = divmod(third, 250)
    return f'127.{1 + second % 250}.{third}.{1 + last}'


HOST = loopback_host(os.getpid())

PORTS = itertools.cycle(range(FIRST_PORT, LAST_PORT))


def free_port():
    """Return a port of this run's address that nothing listens on.

    Ports are handed out in turn, so that none is given out a second time
    before it is used.
    """
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


def free_address():
    """Return ``IP:PORT`` that nothing listens on."""
    return f'{HOST}:{free_port()}'


def wait_until(test, what, limit=START_LIMIT):
    """Poll an observable state; the limit only bounds a failing run."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        value = test()
        if value:
            return value
        time.sleep(0.01)
    raise AssertionError(f'never happened: {what}')


class Process:
    """One child process, ended by its own id."""

    def __init__(self, arguments, log_path):
        """Start a module with its output in a file."""
        self.log_path = log_path
        with open(log_path, 'ab') as log:
            self.child = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def kill(self):
        """Kill the process and wait for its end."""
        self.child.kill()
        self.child.wait(10)

    def freeze(self):
        """Stop the process without ending it."""
        os.kill(self.child.pid, signal.SIGSTOP)

    def thaw(self):
        """Let a frozen process go on."""
        os.kill(self.child.pid, signal.SIGCONT)

    def terminate(self):
        """Ask the process to end."""
        self.child.terminate()

    def ended(self):
        """Tell whether the process has ended."""
        return self.child.poll() is not None

    def close(self):
        """End the process if it still runs."""
        if not self.ended():
            with contextlib.suppress(ProcessLookupError):
                self.thaw()
            self.child.kill()
            self.child.wait(10)


class Standin(Process):
    """A stand-in with its HTTP interface."""

    def __init__(self, module, folder, name, *arguments):
        """Start a stand-in and wait until it answers."""
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
        wait_until(self.answers, f'{name} answers')

    def answers(self):
        """Tell whether the stand-in answers."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return HTTP.request('GET', self.url + '/log').status == 200
        return False

    def set_faults(self, **faults):
        """Switch faults on or off."""
        HTTP.request('POST', self.url + '/faults', body=json.dumps(faults))

    def log(self, event=None):
        """Return what really happened, or one kind of event."""
        entries = HTTP.request('GET', self.url + '/log').json()
        return [e for e in entries if event in (None, e['event'])]


class Daemon(Process):
    """A chestnutshunt daemon with its admin interface."""

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
        """Ask the admin interface."""
        return HTTP.request('GET', f'http://{self.admin}{path}')

    def ready(self):
        """Tell whether the daemon is ready for callers."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self.get('/readyz').status == 200
        return False

    def dump(self):
        """Return the daemon's state."""
        return self.get('/dump').json()

    def live_peers(self):
        """Return the names of the peers that it hears."""
        return {p['name'] for p in self.dump()['peers'] if p['live']}

    def arm(self, step):
        """Hold the daemon at a named point."""
        self.get(f'/steps/{step}?action=arm')

    def release(self, step):
        """Let the daemon go on from a named point."""
        self.get(f'/steps/{step}?action=release')

    def wait_step(self, step):
        """Wait until the daemon is held at a point."""
        reply = self.get(f'/steps/{step}?timeout=20').json()
        assert reply['reached'], f'{self.name} never reached {step}'

    def call(self, path, body=b'', key='', headers=None, method='POST'):
        """Send a request as a caller."""
        sent = dict(headers or {})
        if key:
            sent['Authorization'] = f'Bearer {key}'
        return HTTP.request(
            method, f'http://{self.caller}{path}', body=body, headers=sent
        )


class Cluster:
    """A platform, targets and daemons in a folder."""

    def __init__(self, folder: pathlib.Path, stack: contextlib.ExitStack):
        """Start the platform."""
        self.folder = folder
        self.stack = stack
        self.platform = self.standin('platform', 'platform')
        self.platform_url = self.platform.url
        reached = adapter.connect(self.platform_url)
        self.client = reached.store
        self.duties = reached.duties
        self.editor = editor.Editor(self.client)
        self.daemons = []
        self.targets = []

    def standin(self, module, name, *arguments):
        """Start a stand-in that ends with the cluster."""
        made = Standin(module, self.folder, name, *arguments)
        self.stack.callback(made.close)
        return made

    def target(self, module, service, datacentre, name, *arguments, **fields):
        """Start a stand-in and list it as a target."""
        made = self.standin(module, name, '--name', name, *arguments)
        self.targets.append(made)
        value = {
            'service': service,
            'address': made.address,
            'datacentre': datacentre,
            'state': 'running',
            **fields,
        }
        self.client.put('target', name, value, object_store.ABSENT).unwrap()
        return made

    def daemon(self, name, datacentre='marmara-a', **overrides):
        """Start a daemon that knows the earlier ones as seeds."""
        seeds = [item.peer for item in self.daemons]
        made = Daemon(self, name, datacentre, seeds, **overrides)
        self.stack.callback(made.close)
        self.daemons.append(made)
        return made

    def wait_ready(self):
        """Wait until all daemons are ready and hear each other."""
        for item in self.daemons:
            wait_until(item.ready, f'{item.name} is ready')
        names = {item.name for item in self.daemons}
        for item in self.daemons:
            wait_until(
                lambda d=item: d.live_peers() >= names - {d.name},
                f'{item.name} hears its peers',
            )
        self.wait_config()

    def wait_config(self):
        """Wait until all daemons have the newest revision."""
        revision = self.client.list_followed().unwrap().revision
        for item in self.daemons:
            wait_until(
                lambda d=item: (
                    d.ended() or d.dump()['config']['revision'] >= revision
                ),
                f'{item.name} has revision {revision}',
            )

    def workspace(self, name, **settings):
        """Create a workspace; return a key of it."""
        self.editor.set(f'workspaces/{name}', settings)
        return self.key(name)

    def key(self, workspace):
        """Create a key; return its token."""
        made = credential.Credential.create(workspace)
        self.editor.set(
            f'workspaces/{workspace}/keys/{made.key_id}',
            {'salt': made.salt, 'digest': made.digest},
        )
        return made.token


@contextlib.contextmanager
def cluster(folder) -> Iterator[Cluster]:
    """Run a cluster until the context ends."""
    with contextlib.ExitStack() as stack:
        yield Cluster(pathlib.Path(folder), stack)


def to_toml(values):
    """Return a flat table as TOML."""
    return ''.join(
        f'{name} = {json.dumps(value)}\n' for name, value in values.items()
    )
