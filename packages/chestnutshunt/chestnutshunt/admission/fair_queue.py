"""Weighted fair queue in front of the targets of one service."""

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

WAIT_MARGIN_RATIO = 1.25
"""By how much a request may take longer than expected."""


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a slot."""

    workspace: str
    deadline: float
    granted: threading.Event = attrs.field(factory=threading.Event)
    abandoned: bool = False


class FairQueue:
    """Grants a bounded number of slots in proportion to weights.

    A waiting request's place is its workspace's virtual time, which advances
    by cost divided by weight, so that no workspace can crowd others out.

    Parameters
    ----------
    clock : Clock
        Clock for deadlines.
    slots : int
        Requests in flight at one time.
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
        """Hold a slot, waiting for it in fair order.

        Parameters
        ----------
        workspace : str
            Whose request it is.
        weight : float
            Share of the workspace under load.
        cost : float
            Expected cost in tokens or calls.
        deadline : float
            Monotonic time in seconds by which the request must be done.
        queue_length : int
            Waiting requests the workspace may have.

        Raises
        ------
        QueueFull, DeadlineTooShort
            The request was not run.
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
        """Take a slot or raise; see `slot`."""
        with self.lock:
            if self.in_flight < self.slots and not self.heap:
                self.in_flight += 1
                self.reserve_virtual_time(workspace, weight, cost)
                return
            self.reject_early(workspace, deadline, queue_length)
            place = self.reserve_virtual_time(workspace, weight, cost)
            waiter = Waiter(workspace, deadline)
            heapq.heappush(self.heap, (place, next(self.sequence), waiter))
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
        raise errors.DeadlineTooShort('No slot came free in time.')

    def reserve_virtual_time(
        self, workspace: str, weight: float, cost: float
    ) -> float:
        """Return the request's place and move the workspace's time on."""
        start = max(
            self.virtual_time, self.virtual_finish_times.get(workspace, 0.0)
        )
        self.virtual_finish_times[workspace] = start + cost / weight
        return start

    def reject_early(
        self, workspace: str, deadline: float, queue_length: int
    ) -> None:
        """Raise for a request that would wait in vain."""
        wait = self.expected_wait_s()
        if self.waiting_counts.get(workspace, 0) >= queue_length:
            message = f'The queue of {workspace} is full.'
            raise errors.QueueFull(message, retry_after_s=max(wait, 1.0))
        done_in = (wait + self.service_time_s) * WAIT_MARGIN_RATIO
        if self.clock.monotonic() + done_in > deadline:
            raise errors.DeadlineTooShort(
                f'The wait is about {wait:.1f} s.', retry_after_s=wait
            )

    def expected_wait_s(self) -> float:
        """Return the expected wait of a new request in seconds."""
        return (len(self.heap) + 1) * self.service_time_s / max(self.slots, 1)

    def release(self, duration: float) -> None:
        """Give a slot back after `duration` seconds of service."""
        with self.lock:
            gap = duration - self.service_time_s
            self.service_time_s += SERVICE_TIME_SMOOTHING_RATIO * gap
            self.in_flight -= 1
            self.grant_free_slots()

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        with self.lock:
            self.slots = slots
            self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grant free slots to the waiters whose turn it is."""
        while self.heap and self.in_flight < self.slots:
            place, _, waiter = heapq.heappop(self.heap)
            if waiter.abandoned:
                continue
            self.virtual_time = max(self.virtual_time, place)
            self.remove_waiter(waiter.workspace)
            self.in_flight += 1
            waiter.granted.set()
        if not self.heap and not self.in_flight:
            self.virtual_finish_times.clear()
            self.virtual_time = 0.0

    def remove_waiter(self, workspace: str) -> None:
        """Count a waiter of the workspace out."""
        self.waiting_counts[workspace] -= 1
        if not self.waiting_counts[workspace]:
            del self.waiting_counts[workspace]
