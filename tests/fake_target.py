"""A scripted HTTP target on a loopback port."""

import contextlib
import socket
import struct
import threading
import time

from chestnutshunt.replicas import replica


class FakeTarget:
    """Handles each request by the next step of its script.

    A step is called with the connection and the request's headers, and sends
    any bytes. The last step is repeated.
    """

    def __init__(self, name, *script):
        self.name = name
        self.script = list(script)
        self.heads = []
        self.times = []
        self.bodies = []
        self.disconnected = threading.Event()
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        threading.Thread(target=self.accept, daemon=True).start()

    def replica(self, service='s', **fields):
        return replica.Replica(
            self.name, service, self.address, 'a', 4, **fields
        )

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self.serve, args=(connection,), daemon=True
                ).start()

    def serve(self, connection):
        data = b''
        with connection, contextlib.suppress(OSError):
            while True:
                while b'\r\n\r\n' not in data:
                    received = connection.recv(65536)
                    if not received:
                        self.disconnected.set()
                        return
                    data += received
                head, _, data = data.partition(b'\r\n\r\n')
                lines = head.decode().split('\r\n')
                fields = dict(x.lower().split(': ', 1) for x in lines[1:])
                length = int(fields.get('content-length', 0))
                data = bytearray(data)
                while len(data) < length:
                    data += connection.recv(65536)
                self.bodies.append(bytes(data[:length]))
                data = bytes(data[length:])
                self.times.append(time.monotonic())
                self.heads.append((lines[0], fields))
                step = self.script[min(len(self.heads), len(self.script)) - 1]
                step(connection, fields)

    def stop_listening(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def close(self):
        self.listener.close()


def respond(status=200, body=b'fine', signature='sig', **headers):
    """Return a step that sends a complete response."""

    def step(connection, fields):
        lines = [f'HTTP/1.1 {status} X']
        lines.append(f'Content-Length: {len(body)}')
        lines.append(f'X-Request-Id: {fields["x-request-id"]}')
        if signature:
            lines.append(f'X-Server-Stamp: {signature}')
        lines += [f'{k.replace("_", "-")}: {v}' for k, v in headers.items()]
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        connection.sendall(head + body)

    return step


def refuse(connection, fields):
    """Respond that the request was not run."""
    respond(503, b'', '', X_Not_Run=1)(connection, fields)


def drop(connection, fields):
    """Shut the connection down without a response."""
    connection.shutdown(socket.SHUT_RDWR)


def reset(connection, fields):
    """Reset the connection, as a target with too many of them does."""
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def reset_and_crash(target):
    """Return a step that ends a target whose connections are reset."""

    def step(connection, fields):
        target().stop_listening()
        reset(connection, fields)

    return step


def crash(target):
    """Return a step that ends a target; new connections are refused."""

    def step(connection, fields):
        target().stop_listening()
        drop(connection, fields)

    return step


class Recorder:
    """Collects the bytes that a step sends."""

    def __init__(self):
        self.data = b''

    def sendall(self, data):
        self.data += data

    def shutdown(self, how):
        pass


def cut_off(step, size):
    """Return a step that sends a part of another's bytes and then ends.

    The part has `size` bytes, or lacks as many at the end if negative.
    """

    def cut_step(connection, fields):
        recorder = Recorder()
        step(recorder, fields)
        connection.sendall(recorder.data[:size])
        drop(connection, fields)

    return cut_step


def sent_bytes(step, request_id):
    """Return how many bytes a step sends."""
    recorder = Recorder()
    step(recorder, {'x-request-id': request_id})
    return len(recorder.data)


def drop_after(event):
    """Return a step that waits for an event, then shuts down."""

    def step(connection, fields):
        event.wait(20)
        drop(connection, fields)

    return step


def wait_for_disconnect(connection, fields):
    """Wait until the client closes the connection."""
    connection.settimeout(20)
    connection.recv(1)
    drop(connection, fields)


def send_event(connection, number, label='d', version=None):
    """Send one event as a chunk; it names a new weight version, if any."""
    data = f'id: {number}\ndata: {label}{number}\n\n'.encode()
    if version is not None:
        data = f'x-weight-versions: {version}\n'.encode() + data
    connection.sendall(b'%x\r\n%s\r\n' % (len(data), data))


def events(*numbers, complete=True, version=None, label='d', **headers):
    """Return a step that streams events.

    An incomplete stream is cut, or left open if `complete` is ``None``.
    """

    def step(connection, fields):
        head = (
            'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
            'Content-Type: text/event-stream\r\n'
            f'X-Request-Id: {fields["x-request-id"]}\r\n'
            'X-Server-Stamp: sig\r\n'
        )
        if version is not None:
            head += f'X-Weight-Versions: {version}\r\n'
        for name, value in headers.items():
            head += f'{name.replace("_", "-")}: {value}\r\n'
        connection.sendall(head.encode() + b'\r\n')
        for number in numbers:
            send_event(connection, number, label)
        if complete:
            connection.sendall(b'0\r\n\r\n')
        elif complete is not None:
            drop(connection, fields)

    return step
