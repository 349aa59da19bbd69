"""A TCP link whose open connections can be made silent for good."""

import contextlib
import socket
import threading


__all__ = ['SilentLink']


class SilentLink:
    """Forwards connections; new ones work while old ones are silenced."""

    def __init__(self, target):
        """Listen, and forward to a target."""
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
                one, _ = self.listener.accept()
                if self.refusing:
                    one.close()
                    continue
                try:
                    other = socket.create_connection(self.target)
                except OSError:
                    one.close()
                    continue
                self.pairs.append((one, other))
                for pair in ((one, other), (other, one)):
                    threading.Thread(
                        target=self.forward, args=pair, daemon=True
                    ).start()

    def forward(self, source, sink):
        """Pass bytes on in one direction."""
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if source in self.silenced:
                    continue
                sink.sendall(data)
        if source not in self.silenced:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)

    def silence(self):
        """Make every open connection silent, without closing it."""
        for pair in self.pairs:
            self.silenced.update(pair)

    def cut(self):
        """Close all connections and refuse new ones."""
        self.refusing = True
        for pair in self.pairs:
            for end in pair:
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)
                end.close()
        self.pairs.clear()

    def heal(self):
        """Take new connections again."""
        self.refusing = False

    def close(self):
        """Close the listener and all connections."""
        self.refusing = True
        self.listener.close()
        self.cut()
