"""Base class of the threads that exchange heartbeats with one peer."""

import abc
import threading

__all__ = ['LinkThread']


class LinkThread(abc.ABC):
    """Thread for one peer; runs until it is closed.

    Setting the event `wakeup` ends the pause before the next heartbeat.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the peer.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.closed = threading.Event()
        self.wakeup = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f'peer-{address}', daemon=True
        )

    @abc.abstractmethod
    def run(self) -> None:
        """Exchange heartbeats; replace a connection that gets no reply."""

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def close(self) -> None:
        """Ask the thread to end, without waiting for it."""
        self.closed.set()
        self.wakeup.set()
