"""Replicas, clients and a configuration that several cases share."""

from collections.abc import Callable
import contextlib
import threading
import time
from typing import Any

import rig

SERVICE = 'app'
PREFIX = '/app/'


def route(kind: str = 'safe', **fields: Any) -> dict[str, Any]:
    """Return a route to the service with the figures of the pages."""
    return {
        'name': 'route-app',
        'host': rig.HOST_NAME,
        'pathPrefix': PREFIX,
        'kind': kind,
        'timeoutMs': 3000,
        'goalMs': 200,
        'priority': 2,
        'service': SERVICE,
        'maxAttempts': 2,
        'public': False,
        **fields,
    }


def service(name: str = SERVICE) -> dict[str, Any]:
    """Return the entry of a service in the configuration."""
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': 110,
        'protocol': 'h1',
        'tls': False,
    }


class Replica(rig.Server):
    """A sound replica of a plain service.

    Parameters
    ----------
    site : Site
        Where it runs.
    number : int
        Its number.
    work_s : float, optional
        Seconds that a request takes.
    service : str, optional
        Service to which it belongs.
    """

    def __init__(
        self,
        site: rig.Site,
        number: int,
        work_s: float = 0.025,
        service: str = SERVICE,
    ) -> None:
        self.site = site
        self.service = service
        self.number = number
        self.work_s = work_s
        self.incarnation = 1
        self.slots = 6
        self.running = 0
        self.ran: list[rig.Request] = []
        super().__init__()
        site.servers.append(self)
        self.register()

    @property
    def id(self) -> str:
        """Id of this incarnation."""
        return f'i-{self.number}-{self.incarnation}'

    def register(self) -> None:
        """Write the entry of this incarnation."""
        self.site.platform.put(
            'servers',
            self.id,
            {
                'service': self.service,
                'address': self.address,
                'zone': 'zone-a',
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'coldLeftMs': 0,
                'seq': 0,
                'born': int(time.time() * 1000),
            },
        )

    def crash(self) -> None:
        """Close everything at once, as the end of a process does."""
        self.close()
        self.site.record.add('crash', replica=self.id)

    def restart(self) -> None:
        """Start as a new incarnation on the same address."""
        self.site.platform.remove('servers', self.id)
        self.incarnation += 1
        self.running = 0
        self.listen()
        self.register()
        self.site.record.add('restart', replica=self.id)

    def handle(self, request: rig.Request, connection: rig.Connection) -> None:
        """Run a request, or reject it as the pages say."""
        expected = request.headers.get('x-expect-instance', self.id)
        if expected != self.id:
            connection.send(421, {'X-Instance-Id': self.id})
            return
        if self.running >= 4 * self.slots:
            connection.send(503, {'X-Not-Run': '1'})
            return
        self.running += 1
        try:
            self.run(request, connection)
        finally:
            self.running -= 1

    def run(self, request: rig.Request, connection: rig.Connection) -> None:
        """Run a request and answer it."""
        self.note_run(request)
        time.sleep(self.work_s)
        self.answer(request, connection)

    def note_run(self, request: rig.Request) -> None:
        """Record that a request begins to run."""
        self.ran.append(request)
        self.site.record.add(
            'run',
            replica=self.id,
            request=request.id,
            bytes=len(request.body),
        )

    def answer(self, request: rig.Request, connection: rig.Connection) -> None:
        """Send the complete response."""
        connection.send(200, self.headers(request), b'x' * 800)

    def headers(self, request: rig.Request) -> dict[str, str]:
        """Return the headers of every response that the replica made."""
        return {
            'X-Request-Id': request.id,
            'X-Server-Stamp': f'stamp.{self.id}.{request.id}',
            'X-Server-Load': f'{self.running},0,{self.slots}',
            'Keep-Alive': 'timeout=15',
        }


class Client:
    """Sends requests one after the other on a kept connection.

    Parameters
    ----------
    site : Site
        Where the requests are recorded.
    name : str
        Prefix of the requests' ids.
    address : str
        Address of the daemon.
    """

    def __init__(self, site: rig.Site, name: str, address: str) -> None:
        self.site = site
        self.name = name
        self.address = address
        self.connection: rig.Connection | None = None
        self.count = 0

    def ask(self, path: str, body: bytes, **fields: Any) -> int:
        """Send a request; return the status, 0 without an answer."""
        self.count += 1
        request_id = f'{self.name}-{self.count}'
        headers = rig.client_headers(request_id) | fields
        status = 0
        try:
            if self.connection is None:
                self.connection = rig.connect(self.address)
            self.connection.sock.sendall(
                rig.encode('POST', path, headers, body)
            )
            status, answer, _ = self.connection.read_answer()
            if answer.get('connection', '').lower() == 'close':
                self.close()
        except (rig.Closed, OSError, ValueError):
            self.close()
        self.site.record.add('answer', request=request_id, status=status)
        return status

    def close(self) -> None:
        """Close the kept connection."""
        connection, self.connection = self.connection, None
        if connection is not None:
            with contextlib.suppress(OSError):
                connection.sock.close()


def run_all(functions: list[Callable[[], None]]) -> None:
    """Run functions at the same time and wait for all of them."""
    threads = [threading.Thread(target=run) for run in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
