"""Retry budget of one workspace and service."""

import threading

__all__ = ['RetryBudget']

MAX_BALANCE_COUNT = 10.0


class RetryBudget:
    """Bounds retries to a fraction of the requests.

    Each request earns a fraction of a retry and each retry spends one.
    Thread-safe.

    Parameters
    ----------
    initial : float
        Retries allowed before any request has been counted.
    """

    def __init__(self, initial: float = 2.0) -> None:
        self.balance = initial
        self.lock = threading.Lock()

    def earn(self, share: float) -> None:
        """Add the fraction of a retry that a request earns."""
        with self.lock:
            self.balance = min(self.balance + share, MAX_BALANCE_COUNT)

    def spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        with self.lock:
            if self.balance < 1.0:
                return False
            self.balance -= 1.0
            return True
