"""Bytes without end in the answer to an item; see ``claim.txt``."""

import base64
import json
import os
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import parts  # noqa: E402
import rig  # noqa: E402

EVENT_COUNT = 25
EVENT_S = 0.05
REPLICA_COUNT = 7
JOB_PERIOD_S = 4.0
GROUP_COUNT = 24
GROUP_SIZE = 4
TRAFFIC_S = 90.0
QUIET_S = 25.0

# `memoryMb` of the site's front machines, and the time after which the
# platform starts a process again.
MEMORY_MB = 300
RESTART_S = 1.0

# One of seven replicas of a service fails two of five requests, for the
# length of the pages' `srv_grey`, again and again.
TROUBLE_S = 6.5
SOUND_S = 1.0

# What the replica in trouble sends: well below a link of 1,000 Mbit/s.
BLOCK = b'10000\r\n' + b'?' * 65536 + b'\r\n'
BLOCKS_PER_S = 1200

# The rule: two machines at least, three ends on each.
MACHINE_COUNT = 2
END_COUNT = 3

# Two model services; a daemon runs the jobs of one of them.
SERVICES = ('app', 'app-b')
ROUTES = [
    parts.route(
        'rollout',
        name=f'route-{name}',
        pathPrefix=f'/{name}/',
        service=name,
        timeoutMs=10000,
        dueMs=7500,
        itemTtlS=40,
        maxAttempts=3,
    )
    for name in SERVICES
]


class ItemReplica(parts.Replica):
    """A replica that streams the events of items."""

    in_trouble = False

    def run(self, request: rig.Request, connection: rig.Connection) -> None:
        """Stream the events, or fail with a body that does not end."""
        self.note_run(request)
        fails = self.in_trouble and len(self.ran) % 5 in (0, 2)
        status = '500 Internal Server Error' if fails else '200 OK'
        fields = {
            **self.headers(request),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        lines = ''.join(f'{key}: {value}\r\n' for key, value in fields.items())
        connection.sock.sendall(f'HTTP/1.1 {status}\r\n{lines}\r\n'.encode())
        if fails:
            self.send_without_end(request, connection)
            return
        first = int(request.headers.get('last-event-id', '0')) + 1
        for number in range(first, EVENT_COUNT + 1):
            time.sleep(EVENT_S)
            event = f'id: {number}\ndata: {request.id}/{number}\n\n'.encode()
            connection.sock.sendall(b'%x\r\n%s\r\n' % (len(event), event))
        connection.sock.sendall(b'0\r\n\r\n')

    def send_without_end(
        self, request: rig.Request, connection: rig.Connection
    ) -> None:
        """Send bytes until the caller closes."""
        count = 0
        try:
            while True:
                connection.sock.sendall(BLOCK)
                count += 1
                time.sleep(self.running / BLOCKS_PER_S)
        finally:
            self.site.record.add(
                'endless body',
                replica=self.id,
                request=request.id,
                megabytes=count // 16,
            )


class MemoryLimit(threading.Thread):
    """Kills daemons that use too much memory, and starts them again.

    Parameters
    ----------
    site : Site
        Where the daemons run.
    """

    def __init__(self, site: rig.Site) -> None:
        super().__init__(daemon=True)
        self.site = site
        self.ended = threading.Event()
        self.kills = {daemon.name: 0 for daemon in site.daemons}
        self.most_mb = 0

    def run(self) -> None:
        """Look at the daemons' memory until the case ends."""
        while not self.ended.wait(0.05):
            for daemon in self.site.daemons:
                memory_mb = resident_mb(daemon.child.pid)
                self.most_mb = max(self.most_mb, memory_mb)
                if memory_mb > MEMORY_MB:
                    self.kills[daemon.name] += 1
                    self.site.record.add(
                        'over memory', daemon=daemon.name, mb=memory_mb
                    )
                    daemon.signal(signal.SIGKILL)
                    daemon.child.wait(10)
                    time.sleep(RESTART_S)
                    daemon.start()


def resident_mb(pid: int) -> int:
    """Return the resident memory of a process in megabytes."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) // 1024
    return 0


def submit(site: rig.Site, service: str, number: int) -> None:
    """Submit a batch job, at another daemon after a failure."""
    job_id = f'{service}-{number}'
    items = [
        {
            'id': f'{job_id}-{group}-{member}',
            'path': f'/{service}/{job_id}/{group}/{member}',
            'headers': {'X-Model': 'model-a', 'X-Token-Count': '540,400'},
            'body': base64.b64encode(b'b' * 600).decode(),
            'tokens': 940,
            'group': f'{job_id}-{group}',
        }
        for group in range(GROUP_COUNT)
        for member in range(GROUP_SIZE)
    ]
    headers = rig.client_headers(job_id) | {'Content-Type': 'application/json'}
    body = json.dumps({'items': items}).encode()
    for daemon in site.daemons:
        status = 0
        try:
            status, _, _ = rig.call(
                daemon.caller, 'POST', f'/{service}/x', headers, body
            )
        except (rig.Closed, OSError, ValueError):
            pass
        site.record.add('submitted', job=job_id, status=status)
        if status == 202:
            return


def trouble_in_turn(replica: ItemReplica, ended: threading.Event) -> None:
    """Bring a replica into trouble again and again."""
    while not ended.is_set():
        replica.in_trouble = True
        ended.wait(TROUBLE_S)
        replica.in_trouble = False
        ended.wait(SOUND_S)


def case(site: rig.Site, trouble: bool) -> bool:
    """Return whether the daemons kept within their memory."""
    replicas = [
        ItemReplica(site, number, service=SERVICES[number % 2])
        for number in range(2 * REPLICA_COUNT)
    ]
    site.configure(1, ROUTES, [parts.service(name) for name in SERVICES])
    site.start_daemons(2)
    time.sleep(3.0)
    limit = MemoryLimit(site)
    limit.start()
    for replica in replicas[:2] if trouble else ():
        threading.Thread(
            target=trouble_in_turn,
            args=(replica, limit.ended),
            daemon=True,
        ).start()
    end_at = time.monotonic() + (TRAFFIC_S if trouble else QUIET_S)
    number = 0
    while time.monotonic() < end_at:
        for service in SERVICES:
            submit(site, service, number)
        number += 1
        time.sleep(JOB_PERIOD_S)
    limit.ended.set()
    limit.join(15)
    machines = sum(count >= END_COUNT for count in limit.kills.values())
    site.record.add('summary', kills=limit.kills, most_mb=limit.most_mb)
    return machines < MACHINE_COUNT


rig.run_case(FOLDER, case, os.environ.get('TROUBLE', '1') != '0')
