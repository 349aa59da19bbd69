"""Stand-in of a replica: an engine of one model, or a plain service.

It writes what it runs to a file and renews its registration in the store.
"""

import argparse
import http.client
import json
import pathlib
import threading
import time

import rig3

HEARTBEAT_S = 1.2
LOAD_S = 0.9


class Replica:
    """State of the replica."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.version = args.weights
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.busy_until = 0.0
        self.pending = 0
        self.running = 0
        self.slow = 1.0
        self.lock = threading.Lock()
        self.record = pathlib.Path(args.record).open('a')

    def note(self, **fields: object) -> None:
        """Write a line about something that was run."""
        with self.lock:
            line = {'at': round(time.time(), 3), 'replica': self.args.id}
            self.record.write(json.dumps(line | fields) + '\n')
            self.record.flush()

    def finish_load(self) -> None:
        """Put a version that was loaded in force once its time is over."""
        if self.pending and time.monotonic() >= self.busy_until:
            self.version, self.pending = self.pending, 0

    @property
    def busy(self) -> bool:
        """Whether an order is in progress."""
        self.finish_load()
        return bool(self.pending)

    def models(self) -> list[dict]:
        """Return the models of a report or a registration."""
        if not self.args.model:
            return []
        name = self.args.model
        return [{'name': name, 'version': self.version, 'adapters': []}]

    def register(self) -> None:
        """Renew the registration until the process ends."""
        connection = None
        host, _, port = self.args.store.partition(':')
        beat = 0
        while True:
            beat += 1
            self.finish_load()
            spec = {
                'service': self.args.service,
                'address': self.args.public or self.args.address,
                'zone': 'sierra-norte',
                'version': self.args.software,
                'slots': self.args.slots,
                'state': 'ready',
                'coldLeftMs': 0,
                'seq': beat,
                'born': self.born,
                'stage': 'mixed',
            }
            if self.args.model:
                spec['models'] = self.models()
            kind = '/v1/objects/servers'
            try:
                connection = http.client.HTTPConnection(
                    host, int(port), timeout=1.0
                )
                body = {'metadata': {'name': self.args.id}, 'spec': spec}
                for method, path in (
                    ('PUT', f'{kind}/{self.args.id}'),
                    ('POST', kind),
                ):
                    connection.request(method, path, json.dumps(body))
                    response = connection.getresponse()
                    response.read()
                    if response.status < 300:
                        break
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            time.sleep(HEARTBEAT_S)


class ReplicaHandler(rig3.Handler):
    """Requests to the replica."""

    def refuse(self, status: int) -> None:
        """Answer that the request was not run."""
        self.body()
        self.send_response(status)
        self.send_header('X-Not-Run', '1')
        self.send_header('X-Request-Id', self.headers['X-Request-Id'] or '')
        self.send_header('Content-Length', '0')
        self.end_headers()

    def answer(self) -> None:
        """Serve one request."""
        replica: Replica = self.server.replica
        wanted = self.headers.get('X-Expect-Instance')
        if wanted not in (None, replica.args.id):
            self.refuse(421)
        elif self.path == '/v1/report':
            self.report(replica)
        elif self.path == '/v1/order':
            self.order(replica)
        elif self.path == '/control':
            replica.slow = json.loads(self.body())['slow']
            self.reply(200)
        elif replica.busy or replica.running >= replica.args.slots:
            self.refuse(503)
        else:
            self.run(replica)

    do_GET = do_POST = answer

    def report(self, replica: Replica) -> None:
        """Return the report."""
        self.reply(
            200,
            {
                'stage': 'mixed',
                'models': replica.models(),
                'busy': replica.busy,
                'seq': replica.seq,
                'waiting': 0,
                'running': replica.running,
                'kvUsed': 0,
                'kvTotal': 90000,
                'handles': 0,
                'born': replica.born,
            },
        )

    def order(self, replica: Replica) -> None:
        """Carry out an order to load a version."""
        order = json.loads(self.body())
        status = 202
        if 'expect' in order and order['expect'] != replica.seq:
            status = 409
        elif replica.busy:
            status = 409
        elif order['version'] == replica.version:
            status = 200
        else:
            replica.seq += 1
            replica.pending = order['version']
            replica.busy_until = time.monotonic() + LOAD_S
        replica.note(order=order, status=status, seq=replica.seq)
        self.reply(status, {})

    def run(self, replica: Replica) -> None:
        """Run a request."""
        with replica.lock:
            replica.running += 1
        try:
            body = self.body()
            request_id = self.headers['X-Request-Id']
            replica.note(run=request_id, path=self.path, body=len(body))
            if replica.args.model:
                self.stream(replica, request_id)
            else:
                self.plain(replica, request_id)
        except OSError as exc:
            replica.note(broken=self.headers['X-Request-Id'], error=repr(exc))
            self.close_connection = True
        finally:
            with replica.lock:
                replica.running -= 1

    def plain(self, replica: Replica, request_id: str) -> None:
        """Answer after the work, or with 504 at the deadline."""
        work_s = replica.args.work * replica.slow
        left = self.headers.get('X-Deadline-Ms')
        left_s = int(left) / 1000 if left else work_s
        status = 200 if work_s <= left_s else 504
        time.sleep(min(work_s, left_s))
        replica.note(done=request_id, status=status)
        data = f'{replica.args.id} {request_id}'.encode()
        self.send_response(status)
        self.send_header('X-Request-Id', request_id)
        self.send_header('X-Server-Stamp', f'{replica.args.id}.{request_id}')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def stream(self, replica: Replica, request_id: str) -> None:
        """Send the events of a text."""
        first = int(self.headers.get('Last-Event-Id') or 0) + 1
        version = replica.version
        self.send_response(200)
        self.send_header('Content-Type', 'text/event-stream')
        self.send_header('X-Request-Id', request_id)
        self.send_header('X-Server-Stamp', f'{replica.args.id}.{request_id}')
        self.send_header('X-Weight-Versions', str(version))
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        for number in range(first, replica.args.events + 1):
            time.sleep(replica.args.work * replica.slow)
            while replica.busy:
                time.sleep(0.01)
            text = f'id: {number}\ndata: {request_id}-{number}\n\n'
            if replica.version != version:
                version = replica.version
                text = f'x-weight-versions: {version}\n{text}'
            data = text.encode()
            self.wfile.write(b'%x\r\n%s\r\n' % (len(data), data))
            self.wfile.flush()
            replica.note(event=number, request=request_id, version=version)
        self.wfile.write(b'0\r\n\r\n')


def main() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--id', required=True)
    parser.add_argument('--address', required=True)
    parser.add_argument('--public', default='')
    parser.add_argument('--store', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--record', required=True)
    parser.add_argument('--model', default='')
    parser.add_argument('--weights', type=int, default=1)
    parser.add_argument('--software', default='v1')
    parser.add_argument('--slots', type=int, default=12)
    parser.add_argument('--work', type=float, default=0.1)
    parser.add_argument('--events', type=int, default=30)
    args = parser.parse_args()
    host, _, port = args.address.partition(':')
    server = rig3.Server((host, int(port)), ReplicaHandler)
    server.replica = Replica(args)
    threading.Thread(target=server.replica.register, daemon=True).start()
    server.serve_forever()


if __name__ == '__main__':
    main()
