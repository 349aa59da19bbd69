"""Small stand-ins of the users' platform for the scripts of this review.

Each runs as a process of its own, needs only the standard library, and writes
one JSON line for every event to the file given with ``--log``.
"""

import argparse
import asyncio
import base64
import json
import os
import signal
import socket
import struct
import time
from urllib import parse

__all__ = ['main']

VALUE_BYTES = 1_048_576
PAGE_OBJECTS = 500
PAGE_BYTES = 1_000_000
HEARTBEAT_S = 1.2
MAX_BODY_BYTES = 67_108_864


class Log:
    """Appends JSON lines to a file."""

    def __init__(self, path):
        self.file = open(path, 'a', buffering=1)

    def add(self, event, **fields):
        """Write one event with the time of day."""
        line = {'t': round(time.time(), 4), 'event': event, **fields}
        self.file.write(json.dumps(line) + '\n')


async def read_request(reader):
    """Return method, target, headers and body; ``None`` at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    headers = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return method, target, headers, body


def head(status, headers, length=None):
    """Return the head of a response."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if length is None:
        lines.append('Transfer-Encoding: chunked')
    else:
        lines.append(f'Content-Length: {length}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def chunk(data):
    """Return one chunk of a chunked body."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


async def call(address, method, path, value=None, headers=None):
    """Make one call on a new connection; return status and JSON value."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    body = b'' if value is None else json.dumps(value).encode()
    lines = [f'{method} {path} HTTP/1.1', f'Host: {address}']
    lines += [f'{k}: {v}' for k, v in (headers or {}).items()]
    lines += [f'Content-Length: {len(body)}', 'Connection: close']
    writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
    status = int((await reader.readline()).split()[1])
    while (await reader.readline()).strip():
        pass
    data = await reader.read()
    writer.close()
    return status, json.loads(data) if data.strip() else None


class Server:
    """HTTP/1.1 server with kept connections."""

    def __init__(self, args):
        self.args = args
        self.log = Log(args.log)
        self.connections = 0

    def refuses_connection(self):
        """Return whether a new connection is reset."""
        return False

    async def connected(self, reader, writer):
        """Serve the requests of one connection."""
        if self.refuses_connection():
            self.log.add('connection reset', open=self.connections)
            abort(writer)
            return
        self.connections += 1
        try:
            while (request := await read_request(reader)) is not None:
                await self.respond(reader, writer, *request)
                await writer.drain()
                if request[2].get('connection', '').lower() == 'close':
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            # The peer closed the connection; there is nobody to answer.
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def respond(self, reader, writer, method, target, headers, body):
        """Write the response to one request."""
        raise NotImplementedError

    async def start(self):
        """Do what comes before serving."""

    async def run(self):
        """Serve until SIGTERM."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        server = await asyncio.start_server(
            self.connected,
            self.args.host,
            self.args.port,
            backlog=512,
            limit=MAX_BODY_BYTES,
        )
        await self.start()
        self.log.add('started', pid=os.getpid())
        async with server:
            await stop.wait()


def abort(writer):
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, args):
        super().__init__(args)
        self.revision = 1
        self.kinds = {}
        self.written_at = {}

    def drop_lapsed(self):
        """Remove entries of replicas that were silent for three beats."""
        servers = self.kinds.get('servers', {})
        now = time.monotonic()
        for name in list(servers):
            if now - self.written_at[name] > 3 * HEARTBEAT_S:
                del servers[name]
                self.revision += 1
                self.log.add('lapsed', name=name)

    async def respond(self, reader, writer, method, target, headers, body):
        """Execute one call after the store's 4 ms."""
        await asyncio.sleep(0.004)
        self.drop_lapsed()
        path, _, query = target.partition('?')
        names = [parse.unquote(x) for x in path.split('/')[3:]]
        parameters = dict(parse.parse_qsl(query))
        value = json.loads(body) if body else {}
        if len(body) > VALUE_BYTES:
            status, reply = 400, {'error': 'the object is too large'}
        else:
            status, reply = self.execute(method, names, parameters, value)
        if method != 'GET' and names[0] != 'servers':
            self.log.add(
                'write',
                method=method,
                object='/'.join(names),
                bytes=len(body),
                status=status,
                holder=(value.get('spec') or {}).get('holder'),
            )
        data = json.dumps(reply, separators=(',', ':')).encode()
        writer.write(
            head(status, {'Content-Type': 'application/json'}, len(data))
            + data
        )

    def execute(self, method, names, parameters, value):
        """Return status and value of one call."""
        objects = self.kinds.setdefault(names[0], {})
        if method == 'GET' and len(names) == 1:
            return 200, self.page(objects, parameters.get('after', ''))
        metadata = value.get('metadata') or {}
        name = names[1] if len(names) > 1 else metadata.get('name')
        stored = objects.get(name)
        if method == 'GET':
            return (200, stored) if stored else (404, {})
        if method == 'POST':
            if stored:
                return 409, stored
            return 201, self.write(names[0], name, {}, value)
        if stored is None:
            return 404, {}
        expected = metadata.get('revision', parameters.get('revision'))
        if expected is not None and (
            int(expected) != stored['metadata']['revision']
        ):
            return 409, stored
        if method == 'DELETE':
            self.revision += 1
            del objects[name]
            return 200, stored
        return 200, self.write(names[0], name, stored, value)

    def write(self, kind, name, stored, value):
        """Create or replace an object; an equal one keeps its revision."""
        self.written_at[name] = time.monotonic()
        spec = value.get('spec', stored.get('spec'))
        status = value.get('status', stored.get('status') or {})
        if stored and status == stored['status']:
            if comparable(kind, spec) == comparable(kind, stored['spec']):
                return stored
        self.revision += 1
        written = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': 0,
                'finalizers': [],
                'isDeleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.kinds[kind][name] = written
        return written

    def page(self, objects, after):
        """Return one page of a kind."""
        items = []
        size = 0
        names = sorted(name for name in objects if name > after)
        for name in names:
            size += len(json.dumps(objects[name]))
            if items and (size > PAGE_BYTES or len(items) >= PAGE_OBJECTS):
                break
            items.append(objects[name])
        return {
            'items': items,
            'hasMore': len(items) < len(names),
            'currentRev': self.revision,
        }


def comparable(kind, spec):
    """Return what changes the revision of an object."""
    if kind != 'servers' or not isinstance(spec, dict):
        return spec
    return {name: item for name, item in spec.items() if name != 'seq'}


class Cloud(Server):
    """The platform's interface for duties."""

    async def respond(self, reader, writer, method, target, headers, body):
        """Accept a call and log who made it."""
        self.log.add(
            'duty',
            path=target,
            holder=headers.get('x-duty-holder'),
            fence=headers.get('x-fence-token'),
            value=json.loads(body or b'{}'),
        )
        writer.write(head(200, {}, 2) + b'{}')


class Replica(Server):
    """A replica: an engine if it has events, else a plain service."""

    def __init__(self, args):
        super().__init__(args)
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(args.slots)
        self.seq = 0
        self.orders = 0
        self.version = 1
        self.born = int(time.time() * 1000)
        self.state = 'ready'

    def refuses_connection(self):
        """Take fewer connections than usual while the queue is long."""
        limit = self.args.max_conns
        if self.args.long_queue and self.waiting >= self.args.long_queue:
            limit = min(limit, self.args.slots + self.args.long_queue)
        return self.connections >= limit

    async def start(self):
        """Register, and go on doing so."""
        await self.register()
        self.beats = asyncio.create_task(self.beat())
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(
            signal.SIGUSR1, lambda: asyncio.create_task(self.drain())
        )

    async def drain(self):
        """Report that this replica drains; it goes on serving."""
        self.state = 'draining'
        await self.register()
        self.log.add('draining accepted by the store')

    async def beat(self):
        """Write the registration at each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            try:
                await self.register()
            except OSError as exc:
                self.log.add('store not reached', error=repr(exc))

    async def register(self):
        """Write the registration once."""
        self.seq += 1
        args = self.args
        spec = {
            'service': args.service,
            'address': f'{args.host}:{args.port}',
            'zone': args.zone,
            'version': args.software,
            'slots': args.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'seq': self.seq,
            'born': self.born,
        }
        if args.model:
            spec['models'] = self.models()
        value = {'metadata': {'name': args.id}, 'spec': spec}
        path = '/v1/objects/servers'
        status, _ = await call(args.store, 'PUT', f'{path}/{args.id}', value)
        if status == 404:
            await call(args.store, 'POST', path, value)

    def models(self):
        """Return the loaded weights."""
        return [
            {'name': self.args.model, 'version': self.version, 'adapters': []}
        ]

    def reply(self, writer, status, value, headers=None):
        """Write a JSON response."""
        data = json.dumps(value).encode()
        writer.write(head(status, headers or {}, len(data)) + data)

    async def respond(self, reader, writer, method, target, headers, body):
        """Run one request or order."""
        request_id = headers.get('x-request-id', '')
        load = f'{self.running},{self.waiting},{self.args.slots}'
        common = {'X-Request-Id': request_id, 'X-Server-Load': load}
        expected = headers.get('x-expect-instance')
        if expected not in (None, self.args.id):
            self.reply(writer, 421, {}, common)
        elif target == '/v1/report':
            self.reply(writer, 200, self.report())
        elif target == '/v1/order':
            self.reply(writer, *self.order(json.loads(body)))
        elif self.waiting >= self.args.queue:
            self.log.add('full', id=request_id)
            self.reply(writer, 503, {}, {**common, 'X-Not-Run': '1'})
        else:
            self.waiting += 1
            try:
                await self.slots.acquire()
            finally:
                self.waiting -= 1
            self.running += 1
            try:
                await self.execute(
                    reader, writer, target, headers, body, common
                )
            finally:
                self.running -= 1
                self.slots.release()

    def report(self):
        """Return the report on load and weights."""
        return {
            'stage': 'mixed',
            'models': self.models() if self.args.model else [],
            'busy': False,
            'seq': self.orders,
            'waiting': self.waiting,
            'running': self.running,
            'kvUsed': 0,
            'kvTotal': 90000,
            'handles': 0,
        }

    def order(self, value):
        """Carry an order out at once."""
        self.log.add('order', value=value)
        if value.get('expect', self.orders) != self.orders:
            return 409, {}
        if value['version'] == self.version:
            return 200, {}
        self.orders += 1
        self.version = value['version']
        return 202, {}

    async def execute(self, reader, writer, target, headers, body, common):
        """Run a request in its slot."""
        if reader.at_eof():
            return
        request_id = common['X-Request-Id']
        first = int(headers.get('last-event-id', -1)) + 1
        self.log.add(
            'run',
            id=request_id,
            path=target,
            tenant=headers.get('x-tenant'),
            bytes=len(body),
            first=first if self.args.events else None,
            deadline_ms=headers.get('x-deadline-ms'),
        )
        stamp = base64.b32encode(
            f'{self.args.id}.{request_id}'.encode()
        ).decode()
        common = {**common, 'X-Server-Stamp': stamp.strip('=')}
        if not self.args.events:
            if await self.work(reader, self.args.work_ms / 1e3):
                data = f'answer to {request_id}'.encode()
                writer.write(head(200, common, len(data)) + data)
                self.log.add('answered', id=request_id)
            return
        common['Content-Type'] = 'text/event-stream'
        common['X-Weight-Versions'] = str(self.version)
        writer.write(head(200, common))
        for number in range(first, self.args.events):
            if not await self.work(reader, self.args.work_ms / 1e3):
                return
            data = f'{self.args.software} token {number} of {request_id}'
            text = f'id: {number}\ndata: {data}\n\n'
            writer.write(chunk(text.encode()))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        self.log.add('answered', id=request_id)

    async def work(self, reader, seconds):
        """Work for a time; return False if the caller has left."""
        end_at = time.monotonic() + seconds
        while (left_s := end_at - time.monotonic()) > 0:
            if reader.at_eof():
                return False
            await asyncio.sleep(min(left_s, 0.02))
        return not reader.at_eof()


ROLES = {'store': Store, 'cloud': Cloud, 'replica': Replica}


def main():
    """Run one stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('role', choices=sorted(ROLES))
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--log', required=True)
    parser.add_argument('--id', default='')
    parser.add_argument('--service', default='')
    parser.add_argument('--zone', default='')
    parser.add_argument('--store', default='')
    parser.add_argument('--model', default='')
    parser.add_argument('--software', default='a1')
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--queue', type=int, default=24)
    parser.add_argument('--max-conns', type=int, default=160)
    parser.add_argument('--long-queue', type=int, default=0)
    parser.add_argument('--events', type=int, default=0)
    parser.add_argument('--work-ms', type=float, default=40.0)
    args = parser.parse_args()

    async def serve():
        await ROLES[args.role](args).run()

    asyncio.run(serve())


if __name__ == '__main__':
    main()
