"""Lease with fencing numbers that one process holds at a time."""

import secrets
import threading

from returns import result

from chestnutshunt import clock
from chestnutshunt import errors
from chestnutshunt.store import object_store
from chestnutshunt.store import put_with_readback
from chestnutshunt.store import stored_object

__all__ = ['LEASE_KIND', 'Lease']

LEASE_KIND = 'lease'

# Largest difference tolerated between the clock rates of two VMs.
MAX_CLOCK_DRIFT_RATIO = 0.1


class Lease:
    """One process's view of a lease.

    The holder counts the duration from before it sent the renewal and stops
    early by the drift margin. A successor counts it from when it first saw
    the record and adds the margin. Wall clocks are never compared.
    Renewal, acquisition and release are serialized by a lock.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the lease record.
    clock : Clock
        Clock of this process; only its monotonic time is read.
    name : str
        Name of the duty that the lease protects.
    owner : str
        Identifies this process to operators.
    duration_s : float, optional
        Seconds for which the lease is valid without renewal.
    sole_process : bool, optional
        True if no two processes run under one owner at a time. A record of
        this owner then belongs to a terminated process and counts as free.

    Attributes
    ----------
    fence : int
        Fencing number of the current tenure; later tenures have higher ones.
    follows_other : bool
        True if another process may have held the lease just before the
        current tenure.
    unreachable_at : float
        Monotonic time in seconds of the last call that the platform did not
        answer, 0.0 if none has failed since the tenure was last confirmed.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        clock: clock.Clock,
        name: str,
        owner: str,
        duration_s: float = 6.0,
        sole_process: bool = False,
    ) -> None:
        self.store = store
        self.clock = clock
        self.name = name
        self.owner = owner
        self.duration_s = duration_s
        self.sole_process = sole_process
        self.incarnation = secrets.token_hex(6)
        self.fence = 0
        self.follows_other = False
        self.version = object_store.ABSENT
        self.valid_until = 0.0
        self.renewals = 0
        self.unreachable_at = 0.0
        self.seen_version = object_store.ABSENT
        self.seen_since = 0.0
        self.lock = threading.RLock()

    @property
    def is_held(self) -> bool:
        """True while this process may perform the duty."""
        return self.clock.monotonic() < self.valid_until

    @property
    def is_orphaned(self) -> bool:
        """True if the tenure expired while the platform was unreachable.

        No successor is known, but there may be one, so this permits only
        work that two processes may do at the same time.
        """
        has_expired = self.fence and not self.is_held
        return bool(has_expired and self.unreachable_at >= self.valid_until)

    def require_fence(self) -> int:
        """Return the fencing number, or raise `NotHolder` if not held."""
        if not self.is_held:
            raise errors.NotHolder(f'The lease {self.name} is not held here.')
        return self.fence

    def renew_or_acquire(self) -> bool:
        """Renew the lease, or acquire it if it is free.

        Returns
        -------
        bool
            True if the lease is held now.
        """
        with self.lock:
            if self.is_held:
                self.renew()
                if not self.fence:
                    return False
                if self.is_held:
                    return True
                # The lease expired during the failed renewal. Only a later
                # call tells an outage from a lease that another process took.
            self.try_acquire()
            return self.is_held

    def renew(self) -> None:
        """Extend the tenure unless another process has taken the lease."""
        sent_at = self.clock.monotonic()
        match self.write(self.version):
            case result.Success(stored):
                self.version = stored.version
                self.valid_until = self.expiry_of_call(sent_at)
                self.unreachable_at = 0.0
            case result.Failure(errors.Conflict()):
                self.end_tenure()
            case _:
                self.unreachable_at = self.clock.monotonic()

    def try_acquire(self) -> None:
        """Acquire the lease if it is free or has expired."""
        sent_at = self.clock.monotonic()
        match self.store.get(LEASE_KIND, self.name):
            case result.Success(stored):
                pass
            case _:
                self.unreachable_at = self.clock.monotonic()
                return
        if stored is None or stored.version != self.version:
            self.end_tenure()
        if stored is not None and not self.is_free(stored, sent_at):
            return
        sent_at = self.clock.monotonic()
        expected = stored.version if stored else object_store.ABSENT
        match self.write(expected):
            case result.Success(written):
                self.version = written.version
                self.follows_other = stored is not None and (
                    stored.value.get('holder') != self.owner
                )
                self.fence = written.version
                self.unreachable_at = 0.0
                self.valid_until = self.expiry_of_call(sent_at)

    def end_tenure(self) -> None:
        """Reset the state of a tenure that cannot be renewed any more."""
        self.valid_until = 0.0
        self.unreachable_at = 0.0
        self.fence = 0

    def is_free(self, stored: stored_object.StoredObject, now: float) -> bool:
        """Return whether the record is released, expired or this process's."""
        if not stored.value.get('holder'):
            return True
        if stored.value.get('incarnation') == self.incarnation:
            return True
        if self.sole_process and stored.value.get('holder') == self.owner:
            return True
        if stored.version != self.seen_version:
            self.seen_version = stored.version
            self.seen_since = now
            return False
        duration_s = float(stored.value.get('duration_s', self.duration_s))
        return now - self.seen_since > duration_s * (1 + MAX_CLOCK_DRIFT_RATIO)

    def observe_version(self, version: int) -> None:
        """Record a version that the holder announced.

        The holder wrote the version before it announced it, so its duration
        can be counted from now on, even if the store is read only later.
        """
        with self.lock:
            if version > self.seen_version:
                self.seen_version = version
                self.seen_since = self.clock.monotonic()

    def release(self) -> None:
        """Release the lease, so that a successor need not wait for expiry."""
        with self.lock:
            if not self.is_held:
                return
            self.end_tenure()
            value = {'holder': '', 'nonce': secrets.token_hex(6)}
            self.store.put(LEASE_KIND, self.name, value, self.version)

    def write(
        self, expected: int
    ) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
        """Replace the expected version of the record."""
        self.renewals += 1
        value = {
            'holder': self.owner,
            'incarnation': self.incarnation,
            'duration_s': self.duration_s,
            'renewals': self.renewals,
        }
        return put_with_readback.put_with_readback(
            self.store, LEASE_KIND, self.name, value, expected
        )

    def expiry_of_call(self, sent_at: float) -> float:
        """Return the end of the tenure that a call sent then confirms."""
        return sent_at + self.duration_s * (1 - MAX_CLOCK_DRIFT_RATIO)
