"""TCP proxy whose open connections can be silenced permanently."""

import contextlib
import socket
import threading


__all__ = ['SilentLink']

CHUNK_BYTES = 65536


class SilentLink:
    """Forwards connections; `silence` affects only those already open."""

    def __init__(self, target):
        """Listen on a loopback port and forward to the target address."""
        host, _, port = target.rpartition(':')
        self.target = (host, int(port))
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.silenced = set()
        self.pairs = []
        self.refusing = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Accept connections until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                client, _ = self.listener.accept()
                if self.refusing:
                    client.close()
                    continue
                try:
                    upstream = socket.create_connection(self.target)
                except OSError:
                    client.close()
                    continue
                self.pairs.append((client, upstream))
                for pair in ((client, upstream), (upstream, client)):
                    threading.Thread(
                        target=self.forward, args=pair, daemon=True
                    ).start()

    def forward(self, source, destination):
        """Forward bytes in one direction; drop them once silenced."""
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if source in self.silenced:
                    continue
                destination.sendall(data)
        if source not in self.silenced:
            with contextlib.suppress(OSError):
                destination.shutdown(socket.SHUT_WR)

    def silence(self):
        """Drop all further bytes of open connections, but leave them open."""
        for pair in self.pairs:
            self.silenced.update(pair)

    def cut(self):
        """Close all connections and refuse new ones."""
        self.refusing = True
        for pair in self.pairs:
            for connection in pair:
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)
                connection.close()
        self.pairs.clear()

    def heal(self):
        """Accept new connections again."""
        self.refusing = False

    def close(self):
        """Close the listener and all connections."""
        self.refusing = True
        self.listener.close()
        self.cut()
