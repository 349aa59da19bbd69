"""Weighted fair queue for the targets of one service."""

from collections.abc import Iterator
import contextlib
import heapq
import itertools
import threading

import attrs

from chestnutshunt import clock
from chestnutshunt import errors

__all__ = ['FairQueue']

SERVICE_TIME_SMOOTHING_RATIO = 0.1

# Margin for requests that take longer than the average.
WAIT_MARGIN_RATIO = 1.25


@attrs.define(eq=False)
class Waiter:
    """A queued request that waits for a slot."""

    workspace: str
    deadline: float
    granted: threading.Event = attrs.field(factory=threading.Event)
    abandoned: bool = False


class FairQueue:
    """Grants a bounded number of slots by weighted fair queueing.

    Requests are ordered by the virtual start time of their workspace, which
    advances by cost / weight, so no workspace can starve the others.
    Thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock that deadlines refer to.
    slots : int
        Maximum number of requests in flight.
    """

    def __init__(self, clock: clock.Clock, slots: int) -> None:
        self.clock = clock
        self.slots = slots
        self.in_flight = 0
        self.virtual_time = 0.0
        self.virtual_finish_times: dict[str, float] = {}
        self.waiting_counts: dict[str, int] = {}
        self.heap: list[tuple[float, int, Waiter]] = []
        self.sequence = itertools.count()
        self.service_time_s = 0.0
        self.lock = threading.Lock()

    @contextlib.contextmanager
    def slot(
        self,
        workspace: str,
        weight: float,
        cost: float,
        deadline: float,
        queue_length: int,
    ) -> Iterator[None]:
        """Hold a slot for the duration of a ``with`` block.

        Parameters
        ----------
        workspace : str
            Workspace that sent the request.
        weight : float
            Weight of the workspace under contention.
        cost : float
            Expected cost of the request in tokens or calls.
        deadline : float
            Monotonic time in seconds by which the request must be done.
        queue_length : int
            Maximum number of queued requests of the workspace.

        Raises
        ------
        QueueFull
            The workspace's queue is full.
        DeadlineTooShort
            The request would not finish, or got no slot, by its deadline.
        """
        self.acquire(workspace, weight, cost, deadline, queue_length)
        started = self.clock.monotonic()
        try:
            yield
        finally:
            self.release(self.clock.monotonic() - started)

    def acquire(
        self,
        workspace: str,
        weight: float,
        cost: float,
        deadline: float,
        queue_length: int,
    ) -> None:
        """Take a slot or raise; the parameters are those of `slot`."""
        with self.lock:
            if self.in_flight < self.slots and not self.heap:
                self.in_flight += 1
                self.reserve_virtual_time(workspace, weight, cost)
                return
            self.reject_early(workspace, deadline, queue_length)
            virtual_start = self.reserve_virtual_time(workspace, weight, cost)
            waiter = Waiter(workspace, deadline)
            heapq.heappush(
                self.heap, (virtual_start, next(self.sequence), waiter)
            )
            self.waiting_counts[workspace] = (
                self.waiting_counts.get(workspace, 0) + 1
            )
        remaining = deadline - self.clock.monotonic()
        if waiter.granted.wait(max(remaining, 0)):
            return
        with self.lock:
            if waiter.granted.is_set():
                return
            waiter.abandoned = True
            self.remove_waiter(workspace)
        raise errors.DeadlineTooShort(
            'No slot became free before the deadline.'
        )

    def reserve_virtual_time(
        self, workspace: str, weight: float, cost: float
    ) -> float:
        """Return the request's virtual start and advance its workspace."""
        start = max(
            self.virtual_time, self.virtual_finish_times.get(workspace, 0.0)
        )
        self.virtual_finish_times[workspace] = start + cost / weight
        return start

    def reject_early(
        self, workspace: str, deadline: float, queue_length: int
    ) -> None:
        """Raise for a request that would exceed the queue or its deadline."""
        wait = self.expected_wait_s()
        if self.waiting_counts.get(workspace, 0) >= queue_length:
            message = f'The queue of {workspace} is full.'
            raise errors.QueueFull(message, retry_after_s=max(wait, 1.0))
        time_needed_s = (wait + self.service_time_s) * WAIT_MARGIN_RATIO
        if self.clock.monotonic() + time_needed_s > deadline:
            raise errors.DeadlineTooShort(
                f'The expected wait is about {wait:.1f} s.', retry_after_s=wait
            )

    def expected_wait_s(self) -> float:
        """Return the expected wait of a new request in seconds."""
        return (len(self.heap) + 1) * self.service_time_s / max(self.slots, 1)

    def release(self, duration: float) -> None:
        """Return a slot after `duration` seconds of service."""
        with self.lock:
            error_s = duration - self.service_time_s
            self.service_time_s += SERVICE_TIME_SMOOTHING_RATIO * error_s
            self.in_flight -= 1
            self.grant_free_slots()

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        with self.lock:
            self.slots = slots
            self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grant free slots in order of virtual start; needs the lock."""
        while self.heap and self.in_flight < self.slots:
            virtual_start, _, waiter = heapq.heappop(self.heap)
            if waiter.abandoned:
                continue
            self.virtual_time = max(self.virtual_time, virtual_start)
            self.remove_waiter(waiter.workspace)
            self.in_flight += 1
            waiter.granted.set()
        if not self.heap and not self.in_flight:
            self.virtual_finish_times.clear()
            self.virtual_time = 0.0

    def remove_waiter(self, workspace: str) -> None:
        """Decrement the waiting count of a workspace; needs the lock."""
        self.waiting_counts[workspace] -= 1
        if not self.waiting_counts[workspace]:
            del self.waiting_counts[workspace]
