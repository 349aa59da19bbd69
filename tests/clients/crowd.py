"""Clients that send or read as little as suits them, many at a time."""

import contextlib
import socket
import threading
import time

# A client whose bytes are not taken for so long has sent what it can.
BLOCKED_S = 4.0

# Bounds a failing run only.
SETTLE_S = 60.0
JOIN_S = 20.0

DRIP_S = 0.7
PART = b'x' * 65_536
CHUNK = b'%x\r\n%s\r\n' % (len(PART), PART)


class Client(threading.Thread):
    """A client with a connection of its own.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the daemon.
    act : callable
        What it does, with the client; ends, or returns when `stop` is set.
    stop : Event
        Set when the client has to leave.
    """

    def __init__(self, address, act, stop):
        super().__init__(daemon=True)
        self.act = act
        self.stop = stop
        self.settled = threading.Event()
        self.address = address
        self.sock = None

    def connect(self):
        host, _, port = self.address.rpartition(':')
        self.sock = socket.create_connection((host, int(port)), BLOCKED_S)

    def run(self):
        with contextlib.suppress(OSError):
            self.connect()
            with contextlib.suppress(TimeoutError):
                self.act(self)
            self.settled.set()
            # Its connection stays open, whatever it has done.
            self.stop.wait()
        self.settled.set()
        self.close()

    def close(self):
        if self.sock is not None:
            self.sock.close()

    def send(self, data):
        self.sock.sendall(data)

    def send_parts(self, length):
        """Send as many bytes in parts."""
        for _ in range(length // len(PART)):
            self.send(PART)
        self.send(PART[: length % len(PART)])

    def drip(self):
        """Send a byte now and then, without an end."""
        self.settled.set()
        while not self.stop.wait(DRIP_S):
            self.send(b'x')

    def read_slowly(self):
        """Read a little now and then, without an end."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with contextlib.suppress(TimeoutError):
            if not self.sock.recv(1024):
                return
        self.settled.set()
        self.sock.settimeout(None)
        while not self.stop.wait(DRIP_S):
            if not self.sock.recv(1024):
                return


@contextlib.contextmanager
def crowd(address, act, count):
    """Run clients; the context begins when all have done what they can."""
    stop = threading.Event()
    clients = [Client(address, act, stop) for _ in range(count)]
    for client in clients:
        client.start()
    end_at = time.monotonic() + SETTLE_S
    try:
        for client in clients:
            client.settled.wait(max(end_at - time.monotonic(), 0.0))
        yield clients
    finally:
        stop.set()
        for client in clients:
            with contextlib.suppress(OSError, AttributeError):
                client.sock.shutdown(socket.SHUT_RDWR)
        for client in clients:
            client.join(JOIN_S)
