"""Threads that serve connections, of which some may wait for clients."""

import collections
from collections.abc import Iterator
import contextlib
import socket
import threading
import time
from typing import Any

from cheroot import server
from cheroot.workers import threadpool

from chestnutshunt_daemon.clients import client_budget

__all__ = ['WorkerPool']


class WorkerPool(threadpool.ThreadPool):
    """Serves a number of connections at one time.

    A thread that waits for a client to send or to take something does not
    count. If too many wait, the budget closes clients that stall.

    Parameters
    ----------
    own_server : HTTPServer
        Server of the connections.
    places : int
        Connections served at one time.
    budget : ClientBudget
        Budget that bounds the threads that wait.
    """

    def __init__(
        self,
        own_server: server.HTTPServer,
        places: int,
        budget: client_budget.ClientBudget,
    ) -> None:
        super().__init__(
            own_server, places, places + budget.max_waiting_threads
        )
        self.budget = budget
        self.places = places
        self.returning_count = 0
        self.idle_count = 0
        self.stopping = False
        self.queued: collections.deque[Any] = collections.deque()
        self.lock = threading.Lock()
        self.work = threading.Condition(self.lock)
        self.room = threading.Condition(self.lock)
        self.local = threading.local()
        self.get = self.take

    @property
    def qsize(self) -> int:
        """Connections that wait for a thread."""
        return len(self.queued)

    def put(self, connection: Any) -> None:
        """Have a connection served."""
        with self.lock:
            self.queued.append(connection)
            self.work.notify()

    def take(self) -> Any:
        """Wait for a connection to serve, with a place for it."""
        with self.lock:
            self.give_place()
            self.idle_count += 1
            self.work.wait_for(self.can_take)
            self.idle_count -= 1
            if self.stopping:
                return threadpool._SHUTDOWNREQUEST
            self.places -= 1
            self.local.has_place = True
            return self.queued.popleft()

    def can_take(self) -> bool:
        """Return whether a connection waits and has a place."""
        has_place = self.places > self.returning_count
        return self.stopping or bool(self.queued and has_place)

    def give_place(self) -> bool:
        """Give up the place of this thread, if it has one."""
        if not getattr(self.local, 'has_place', False):
            return False
        self.local.has_place = False
        self.places += 1
        if self.returning_count:
            self.room.notify()
        return True

    @contextlib.contextmanager
    def while_waiting(self, is_urgent: bool = False) -> Iterator[None]:
        """Give up the place of this thread while the context is open.

        Parameters
        ----------
        is_urgent : bool, optional
            Whether the thread goes on without waiting for a place, as those
            that have one may wait for what it keeps, such as a slot of a
            target. After an error it always does.
        """
        with self.lock:
            had_place = self.give_place()
            if had_place and self.queued:
                self.work.notify()
            needs_thread = had_place and not self.idle_count
            if needs_thread and len(self._threads) < self.max:
                self._threads.append(self._spawn_worker())
        yield
        if had_place:
            self.return_to_place(is_urgent)

    def return_to_place(self, is_urgent: bool) -> None:
        """Take a place; threads that return go before new requests."""
        with self.lock:
            if not is_urgent:
                self.returning_count += 1
                self.room.wait_for(lambda: self.stopping or self.places > 0)
                self.returning_count -= 1
            self.places -= 1
            self.local.has_place = True

    def relieve(self) -> None:
        """Close clients that stall if others wait for them.

        Connections wait for their threads, or the requests that are served
        for what else they keep, such as a slot of a target.
        """
        with self.lock:
            queued_count = len(self.queued)
            startable = min(queued_count, self.places) - self.idle_count
            has_place = self.places > 0
            is_full = len(self._threads) >= self.max
        if queued_count and not has_place:
            self.budget.free_threads(queued_count)
        elif is_full and startable > 0:
            self.budget.free_threads(startable)

    def stop(self, timeout: float = 5) -> None:
        """End the threads; cut what they have not finished in time.

        Parameters
        ----------
        timeout : float, optional
            Seconds to finish requests, and to end after that.
        """
        with self.lock:
            self.stopping = True
            self.work.notify_all()
            self.room.notify_all()
            dropped = list(self.queued)
            self.queued.clear()
        for connection in dropped:
            connection.close()
        workers = list(self._clear_threads())
        join_all(workers, timeout)
        for worker in workers:
            with contextlib.suppress(AttributeError, OSError):
                worker.conn.socket.shutdown(socket.SHUT_RDWR)
        join_all(workers, timeout)


def join_all(workers: list[threadpool.WorkerThread], timeout_s: float) -> None:
    """Wait for threads to end, at most `timeout_s` seconds for all."""
    end_at = time.monotonic() + timeout_s
    for worker in workers:
        worker.join(max(end_at - time.monotonic(), 0.0))
