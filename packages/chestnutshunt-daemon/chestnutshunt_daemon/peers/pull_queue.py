"""Peers from which a daemon has to pull objects."""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import threading

__all__ = ['PullQueue']


class PullQueue:
    """Peers that wait to be pulled from, each with its kinds of objects.

    A peer stands in the queue once, however often it announces changes, and
    is given to one thread at a time: a peer that replies slowly delays only
    what comes from itself. Thread-safe.
    """

    def __init__(self) -> None:
        self.waiting: dict[str, set[str]] = {}
        self.in_use: set[str] = set()
        self.changed = threading.Condition()

    def add(self, address: str, kinds: Iterable[str]) -> None:
        """Add kinds of which the peer at an address has newer objects."""
        with self.changed:
            self.waiting.setdefault(address, set()).update(kinds)
            self.changed.notify()

    def next_address(self) -> str | None:
        """Return the first address that no thread uses; needs the lock."""
        return next((x for x in self.waiting if x not in self.in_use), None)

    @contextlib.contextmanager
    def take(self, timeout_s: float) -> Iterator[tuple[str, set[str]]]:
        """Take a peer from the queue for as long as the context is open.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        tuple of (str, set of str)
            Address and kinds; no kinds if none came in time.
        """
        with self.changed:
            self.changed.wait_for(
                lambda: self.next_address() is not None, timeout_s
            )
            address = self.next_address() or ''
            kinds = self.waiting.pop(address, set())
            self.in_use.add(address)
        try:
            yield address, kinds
        finally:
            with self.changed:
                self.in_use.discard(address)
                self.changed.notify()
