"""Base of the threads that exchange heartbeats with one peer."""

import abc
import threading

__all__ = ['LinkThread']


class LinkThread(abc.ABC):
    """Runs until it is closed; a wake-up ends its pause.

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
        """Exchange heartbeats; a silent connection is replaced."""

    def start(self) -> None:
        """Start the thread of this link."""
        self.thread.start()

    def close(self) -> None:
        """Let the thread end."""
        self.closed.set()
        self.wakeup.set()
