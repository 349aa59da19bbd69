"""A resumed stream that a replica answers with a 500; see ``claim.txt``."""

import functools
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import parts  # noqa: E402
import rig  # noqa: E402

EVENT_COUNT = 25
EVENT_S = 0.04
REPLICA_COUNT = 7
CLIENT_COUNT = 40
STREAM_COUNT = 85

# Length of the pages' `srv_grey`, and the time between two of them. One of
# seven replicas fails two of five requests.
FAILING_S = 6.5
SOUND_S = 1.0

# Length of the pages' `srv_crash`; one of seven replicas.
CRASH_S = 4.5

# Start and end of the traffic are left alone.
FIRST_CRASH_S = 2.0
CRASH_PERIOD_S = 5.0


class StreamReplica(parts.Replica):
    """A replica that streams events and resumes after `Last-Event-Id`."""

    fails = False

    def run(self, request: rig.Request, connection: rig.Connection) -> None:
        """Stream the events, or fail with the replica's own 500."""
        self.note_run(request)
        if self.fails and len(self.ran) % 5 in (0, 2):
            self.site.record.add('500', replica=self.id, request=request.id)
            connection.send(500, self.headers(request))
            return
        first = int(request.headers.get('last-event-id', '0')) + 1
        fields = {
            **self.headers(request),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        lines = ''.join(f'{key}: {value}\r\n' for key, value in fields.items())
        connection.sock.sendall(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
        for number in range(first, EVENT_COUNT + 1):
            time.sleep(EVENT_S)
            event = f'id: {number}\ndata: {request.id}/{number}\n\n'.encode()
            connection.sock.sendall(b'%x\r\n%s\r\n' % (len(event), event))
        connection.sock.sendall(b'0\r\n\r\n')


def read_streams(site: rig.Site, number: int, short: list[str]) -> None:
    """Read streams; add those that end as complete too early to a list."""
    daemon = site.daemons[number % len(site.daemons)]
    for count in range(STREAM_COUNT):
        request_id = f'stream-{number}-{count}'
        outcome = 'broken off'
        body = b''
        try:
            status, _, body = rig.call(
                daemon.caller,
                'POST',
                parts.PREFIX + 'stream',
                rig.client_headers(request_id, 10000),
                b'a' * 600,
                timeout_s=10.0,
            )
            outcome = 'complete' if status == 200 else f'status {status}'
        except (rig.Closed, OSError, ValueError):
            pass
        events = body.count(b'\n\n')
        site.record.add(
            'answer', request=request_id, outcome=outcome, events=events
        )
        if outcome == 'complete' and events < EVENT_COUNT:
            short.append(request_id)


def crash_in_turn(site: rig.Site, replicas: list[StreamReplica]) -> None:
    """Crash one replica after the other, each for a while."""
    time.sleep(FIRST_CRASH_S)
    for replica in replicas:
        replica.crash()
        time.sleep(CRASH_S)
        replica.restart()
        time.sleep(CRASH_PERIOD_S - CRASH_S)


def fail_in_turn(replica: StreamReplica, ended: threading.Event) -> None:
    """Make a replica fail part of its requests, again and again."""
    while not ended.is_set():
        replica.fails = True
        ended.wait(FAILING_S)
        replica.fails = False
        ended.wait(SOUND_S)


def case(site: rig.Site, trouble: bool) -> bool:
    """Return whether no stream ended as complete before its last event."""
    replicas = [StreamReplica(site, n) for n in range(REPLICA_COUNT)]
    site.configure(
        1,
        [
            parts.route(
                'stream', resumable=True, timeoutMs=10000, maxAttempts=3
            )
        ],
        [parts.service()],
    )
    site.start_daemons(2)
    time.sleep(1.0)
    short: list[str] = []
    work = [
        functools.partial(read_streams, site, number, short)
        for number in range(CLIENT_COUNT)
    ]
    ended = threading.Event()
    if trouble:
        failing = threading.Thread(
            target=fail_in_turn, args=(replicas[0], ended)
        )
        failing.start()
        work.append(functools.partial(crash_in_turn, site, replicas[1:] * 3))
    parts.run_all(work)
    ended.set()
    site.record.add('summary', short=len(short), streams=short)
    return not short


rig.run_case(FOLDER, case, os.environ.get('TROUBLE', '1') != '0')
