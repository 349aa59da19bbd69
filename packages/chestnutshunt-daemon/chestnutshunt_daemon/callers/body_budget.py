"""Bounds the memory that callers' bodies take together."""

from collections.abc import Iterator
import contextlib
import threading

from chestnutshunt import errors

__all__ = ['BodyBudget', 'BodyReservation']

# Bodies up to this size are not counted.
FREE_BYTES = 65_536

RETRY_AFTER_S = 1.0


class BodyBudget:
    """Memory for the bodies of requests in process; thread-safe.

    Parameters
    ----------
    limit_bytes : int
        Memory for all of them.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.lock = threading.Lock()

    @contextlib.contextmanager
    def reserve(self, weight: float) -> Iterator['BodyReservation']:
        """Yield a reservation, which is given back at the end.

        Parameters
        ----------
        weight : float
            Memory that a byte of the body takes while it is processed.
        """
        reservation = BodyReservation(self, weight)
        try:
            yield reservation
        finally:
            with self.lock:
                self.used_bytes -= reservation.held_bytes


class BodyReservation:
    """Memory for one body.

    Parameters
    ----------
    budget : BodyBudget
        Memory that it is a part of.
    weight : float
        Memory that a byte of the body takes.
    """

    def __init__(self, budget: BodyBudget, weight: float) -> None:
        self.budget = budget
        self.weight = weight
        self.held_bytes = 0

    def cover(self, body_bytes: int) -> None:
        """Reserve memory for a body that has so many bytes so far.

        Raises
        ------
        OutOfMemory
            The memory does not suffice.
        """
        if body_bytes <= FREE_BYTES:
            return
        wanted_bytes = int(body_bytes * self.weight)
        budget = self.budget
        with budget.lock:
            used_bytes = budget.used_bytes - self.held_bytes + wanted_bytes
            if used_bytes > budget.limit_bytes:
                raise errors.OutOfMemory(
                    f'A body of {body_bytes} bytes needs more memory than is '
                    'left.',
                    retry_after_s=RETRY_AFTER_S,
                )
            budget.used_bytes = used_bytes
            self.held_bytes = wanted_bytes
