"""All daemons are killed while replicas of two software versions stream."""

import collections
import collections.abc
import http.client
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback

import rig3

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FOLDER = pathlib.Path(__file__).resolve().parent
DAEMONS = 3
SOFTWARE = ('v1', 'v1', 'v2', 'v2')
STREAMS = 24
EVENTS = 60
GAP_S = 0.2
READ_S = 3.0

# Page: in a final fault all processes are killed right after a configuration
# has been acknowledged; down_s is 0.67 to 1.6 in the site file.
DOWN_S = 0.9

# contactMs is 4,000: machines are in touch that long after their start.
TOUCH_S = 4.3

# Rule: of 12 or more streams that are taken up, the share that goes on is
# under half of the share of new streams that begin.
LEAST = 12
RATIO = 0.5


class Stream:
    """A stream that a client reads."""

    def __init__(self, number: int, record: rig3.Record) -> None:
        self.begun_by = f'9c41d07be2{number:06x}'
        self.record = record
        self.last = 0
        self.status = 0
        self.stamps: list[str] = []

    def read(
        self, daemon: rig3.Daemon, request_id: str, read_s: float
    ) -> bool:
        """Read for a time; return whether an event came."""
        headers = {
            'Host': rig3.HOST,
            'Authorization': f'Bearer {rig3.KEY}',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '12000',
        }
        if self.last:
            headers['Last-Event-Id'] = str(self.last)
            headers['Resumes'] = self.begun_by
        connection = http.client.HTTPConnection(*daemon.front, timeout=3.0)
        before = self.last
        end_at = time.monotonic() + read_s
        try:
            connection.request('GET', '/bato/1', headers=headers)
            response = connection.getresponse()
            self.status = response.status
            if response.status == 200:
                self.stamps.append(response.getheader('X-Server-Stamp'))
                while time.monotonic() < end_at:
                    line = response.readline()
                    if not line:
                        break
                    if line.startswith(b'id: '):
                        self.last = int(line[4:])
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.record.add(
            f'{request_id} at {daemon.name}, after event {before}: status '
            f'{self.status}, last event {self.last}'
        )
        return self.last > before


def take_up(
    stream: Stream, daemons: list[rig3.Daemon], name: str, at: int
) -> bool:
    """Try at most three times, as a client does within its deadline."""
    for attempt in range(3):
        daemon = daemons[(at + attempt) % len(daemons)]
        if stream.read(daemon, f'{name}{attempt:02x}', 1.0):
            return True
        time.sleep(1.0)
    return False


def play(folder: pathlib.Path, record: rig3.Record) -> bool:
    """Run the case; return whether the rule was broken."""
    store = rig3.Store()
    route = {
        'name': 'r-s',
        'host': rig3.HOST,
        'pathPrefix': '/bato/',
        'kind': 'stream',
        'resumable': True,
        'timeoutMs': 30000,
        'goalMs': 500,
        'priority': 1,
        'maxAttempts': 3,
        'service': 'huvo11a',
        'public': False,
    }
    service = {'name': 'huvo11a', 'healthPath': '/health', 'maxConns': 160}
    store.write('config', 'main', rig3.config(2, [route], [service]))
    replicas = []
    try:
        for number, software in enumerate(SOFTWARE):
            address = f'127.0.0.1:{rig3.free_port(["127.0.0.1"])}'
            replicas.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        '../replica3.py',
                        *('--id', f'i-7f3a91c{number}'),
                        *('--address', address, '--store', store.address),
                        *('--service', 'huvo11a', '--model', 'daka510000'),
                        *('--software', software, '--slots', '16'),
                        *('--events', str(EVENTS), '--work', str(GAP_S)),
                        *('--record', str(folder / 'runs.jsonl')),
                    ]
                )
            )
        with rig3.run_cluster(folder, store, DAEMONS) as daemons:
            time.sleep(6.0)
            return strike(
                daemons,
                lambda: store.write(
                    'config',
                    'main',
                    rig3.config(3, [{**route, 'timeoutMs': 29000}], [service]),
                ),
                record,
            )
    finally:
        for replica in replicas:
            replica.kill()
            replica.wait()


def strike(
    daemons: list[rig3.Daemon],
    change_config: collections.abc.Callable[[], None],
    record: rig3.Record,
) -> bool:
    """Begin streams, kill the daemons, and take the streams up again."""
    streams = [Stream(number, record) for number in range(STREAMS)]
    run_all(
        lambda x: streams[x].read(
            daemons[x % DAEMONS], streams[x].begun_by, READ_S
        )
    )
    begun = [stream for stream in streams if stream.last]
    if len(begun) < LEAST:
        raise RuntimeError(f'only {len(begun)} streams began')
    change_config()
    record.add('configuration 3 is acknowledged')
    if TROUBLE:
        for daemon in daemons:
            daemon.send(signal.SIGKILL)
        for daemon in daemons:
            daemon.process.wait()
        record.add('all daemons are killed')
        time.sleep(DOWN_S)
        for daemon in daemons:
            daemon.start()
        record.add('all daemons are started again')
    else:
        time.sleep(DOWN_S)
    time.sleep(TOUCH_S)
    rig3.wait_until(
        lambda: all(daemon.is_ready() for daemon in daemons), 5, 'ready'
    )
    fresh = [Stream(0x100 + number, record) for number in range(STREAMS)]
    went_on = run_all(
        lambda x: take_up(streams[x], daemons, f'3e1b07{x:04x}', x + 1)
    )
    began = run_all(lambda x: take_up(fresh[x], daemons, f'5a2600{x:04x}', x))
    statuses = collections.Counter(stream.status for stream in begun)
    record.add(f'last statuses of streams taken up: {dict(statuses)}')
    record.add(
        f'{went_on} of {len(begun)} streams went on, {began} of {STREAMS} '
        'new ones began'
    )
    if began < STREAMS / 2:
        raise RuntimeError('new streams do not begin')
    return went_on / len(begun) < RATIO * began / STREAMS


def run_all(run: collections.abc.Callable[[int], bool]) -> int:
    """Run a function for each stream at once; count the true results."""
    results = [False] * STREAMS

    def one(number: int) -> None:
        results[number] = run(number)

    threads = [
        threading.Thread(target=one, args=(number,))
        for number in range(STREAMS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(results)


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
    record.add('LOST broken' if broken else 'LOST held')
    return int(broken)


if __name__ == '__main__':
    sys.exit(main())
