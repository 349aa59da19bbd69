"""Socket of a client, whose waits count against it."""

import contextlib
import select
import socket

from chestnutshunt import errors
from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_daemon.clients import holding
from chestnutshunt_daemon.clients import worker_pool

__all__ = ['ClientSocket']

MS_PER_S = 1000.0

# Receive buffers of the kernel while nothing is read, and while a body is. The
# kernel doubles them; the first must fit into the memory of a connection.
IDLE_BUFFER_BYTES = 16_384
READING_BUFFER_BYTES = 65_536


class ClientSocket:
    """Reads from and writes to a client without blocking on its own.

    A thread that has to wait for the client gives its place to another one
    until the client goes on.

    Parameters
    ----------
    sock : socket
        Connected socket.
    holder : Holding
        Records the waits.
    budget : ClientBudget
        Budget that the client's memory is taken from.
    pool : WorkerPool
        Pool of the threads that serve.
    timeout_s : float
        Longest silence of the client in seconds.
    """

    def __init__(
        self,
        sock: socket.socket,
        holder: holding.Holding,
        budget: client_budget.ClientBudget,
        pool: worker_pool.WorkerPool,
        timeout_s: float,
    ) -> None:
        self.sock = sock
        self.holder = holder
        self.budget = budget
        self.pool = pool
        self.timeout_s = timeout_s
        sock.setblocking(False)

    def set_reading(self, is_reading: bool) -> None:
        """Let the client send further ahead while its body is read."""
        size = READING_BUFFER_BYTES if is_reading else IDLE_BUFFER_BYTES
        with contextlib.suppress(OSError):
            # The connection may have been closed.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def receive_now(self, size: int) -> bytes | None:
        """Return what has come, b'' at the end, ``None`` if nothing has."""
        try:
            data = self.sock.recv(size)
        except BlockingIOError:
            return None
        except ConnectionError:
            return b''
        self.budget.end_wait(self.holder, len(data))
        return data

    def receive(self, size: int) -> bytes:
        """Wait for data and return it, b'' at the end.

        Raises
        ------
        TimeoutError
            The client was silent for too long.
        """
        while (data := self.receive_now(size)) is None:
            self.wait(select.POLLIN)
        return data

    def send_all(self, data: bytes) -> None:
        """Send data, waiting for the client to take it.

        Raises
        ------
        TimeoutError
            The client took nothing for too long.
        ConnectionError
            The client has left, or there is no memory for what it leaves.
        """
        rest = memoryview(data)
        rest = rest[self.send_now(rest) :]
        if not rest:
            return
        try:
            self.cover_answer(len(data))
        except errors.OutOfMemory as exc:
            raise ConnectionAbortedError(exc.message) from exc
        with self.pool.while_waiting(is_urgent=True):
            while rest:
                self.wait(select.POLLOUT)
                sent_bytes = self.send_now(rest)
                self.budget.end_wait(self.holder, sent_bytes)
                rest = rest[sent_bytes:]

    def send_now(self, data: memoryview) -> int:
        """Send what the connection takes now; return the number of bytes."""
        with contextlib.suppress(BlockingIOError):
            return self.sock.send(data)
        return 0

    def cover_answer(self, size: int) -> None:
        """Hold memory for an answer, at least as much as before."""
        held_bytes = self.holder.held.get(holding.Part.ANSWER, 0)
        if size > max(held_bytes, holding.FREE_PART_BYTES):
            self.budget.cover(self.holder, holding.Part.ANSWER, size)

    def wait(self, event: int) -> None:
        """Wait until the client goes on; raises `TimeoutError`."""
        poll = select.poll()
        poll.register(self.sock, event)
        self.budget.begin_wait(self.holder)
        with self.pool.while_waiting():
            ready = poll.poll(self.timeout_s * MS_PER_S)
            self.budget.end_wait(self.holder, 0)
        if not ready:
            raise TimeoutError('timed out')
