"""A lease that one process holds at a time."""

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

DRIFT = 0.1
"""Share by which the clocks of two VMs may run apart."""


class Lease:
    """One process's side of a lease.

    The holder counts its time from before it sent the renewing call and stops
    a margin early. A successor counts from when it first saw the record
    unchanged. No wall clocks are compared.

    Parameters
    ----------
    store : ObjectStore
        Where the record is kept.
    source : Clock
        Clock of this process.
    name : str
        Duty the lease is for.
    owner : str
        This process, shown to operators.
    duration : float, optional
        Seconds a lease lasts without renewal.
    sole_process : bool, optional
        True if no two processes run under one owner at one time. A record of
        this owner's is then that of a process that has ended, and is free.

    Attributes
    ----------
    fence : int
        Fencing number of the current tenure; later tenures have higher ones.
    cut_off_at : float
        Monotonic time in seconds of the last failed call since the tenure
        was last confirmed; 0.0 if the platform has answered since.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        source: clock.Clock,
        name: str,
        owner: str,
        duration: float = 6.0,
        sole_process: bool = False,
    ) -> None:
        self.store = store
        self.source = source
        self.name = name
        self.owner = owner
        self.duration = duration
        self.sole_process = sole_process
        self.incarnation = secrets.token_hex(6)
        self.fence = 0
        self.version = object_store.ABSENT
        self.valid_until = 0.0
        self.renewals = 0
        self.cut_off_at = 0.0
        self.seen_version = object_store.ABSENT
        self.seen_since = 0.0
        self.lock = threading.RLock()

    @property
    def held(self) -> bool:
        """True while this process may act on the duty."""
        return self.source.monotonic() < self.valid_until

    @property
    def orphaned(self) -> bool:
        """True if a tenure lapsed while the platform could not be reached.

        Nobody is known to have taken the lease. That is enough only for work
        that a second process may do as well.
        """
        lapsed = self.fence and not self.held
        return bool(lapsed and self.cut_off_at >= self.valid_until)

    def require(self) -> int:
        """Return the fencing number, or raise `NotHolder`."""
        if not self.held:
            raise errors.NotHolder(f'The lease {self.name} is not held here.')
        return self.fence

    def tend(self) -> bool:
        """Renew the lease, or acquire it if it is free.

        Returns
        -------
        bool
            True if the lease is held now.
        """
        with self.lock:
            if self.held:
                self.renew()
                if not self.fence:
                    return False
                if self.held:
                    return True
                # It lapsed while the renewal failed. Only a call after that
                # tells an outage from a lease that another has taken.
            self.try_acquire()
            return self.held

    def renew(self) -> None:
        """Extend the current tenure if nobody has taken the lease."""
        began = self.source.monotonic()
        match self.write(self.version):
            case result.Success(stored):
                self.version = stored.version
                self.valid_until = self.end_of(began)
                self.cut_off_at = 0.0
            case result.Failure(errors.Conflict()):
                self.forfeit()
            case _:
                self.cut_off_at = self.source.monotonic()

    def try_acquire(self) -> None:
        """Take the lease if it is free or its holder has fallen silent."""
        began = self.source.monotonic()
        match self.store.get(LEASE_KIND, self.name):
            case result.Success(found):
                pass
            case _:
                self.cut_off_at = self.source.monotonic()
                return
        if found is None or found.version != self.version:
            self.forfeit()
        if found is not None and not self.is_free(found, began):
            return
        began = self.source.monotonic()
        expected = found.version if found else object_store.ABSENT
        match self.write(expected):
            case result.Success(stored):
                self.version = stored.version
                self.fence = stored.version
                self.cut_off_at = 0.0
                self.valid_until = self.end_of(began)

    def forfeit(self) -> None:
        """Note that the tenure is over for good."""
        self.valid_until = 0.0
        self.cut_off_at = 0.0
        self.fence = 0

    def is_free(self, found: stored_object.StoredObject, now: float) -> bool:
        """Tell whether the record was released or has expired."""
        if not found.value.get('holder'):
            return True
        if found.value.get('incarnation') == self.incarnation:
            return True
        if self.sole_process and found.value.get('holder') == self.owner:
            return True
        if found.version != self.seen_version:
            self.seen_version = found.version
            self.seen_since = now
            return False
        lasts = float(found.value.get('duration_s', self.duration))
        return now - self.seen_since > lasts * (1 + DRIFT)

    def note_record(self, version: int) -> None:
        """Note a record that its holder told of.

        The holder wrote it before it told, so what is left of its time can be
        counted from now; a later read need not start anew.
        """
        with self.lock:
            if version > self.seen_version:
                self.seen_version = version
                self.seen_since = self.source.monotonic()

    def release(self) -> None:
        """Give the lease up so that a successor need not wait."""
        with self.lock:
            if not self.held:
                return
            self.forfeit()
            value = {'holder': '', 'nonce': secrets.token_hex(6)}
            self.store.put(LEASE_KIND, self.name, value, self.version)

    def write(
        self, expected: int
    ) -> result.Result[stored_object.StoredObject, object_store.StoreError]:
        """Write the record over the expected version."""
        self.renewals += 1
        value = {
            'holder': self.owner,
            'incarnation': self.incarnation,
            'duration_s': self.duration,
            'renewals': self.renewals,
        }
        return put_with_readback.put_with_readback(
            self.store, LEASE_KIND, self.name, value, expected
        )

    def end_of(self, began: float) -> float:
        """Return until when a call sent at `began` lets this process act."""
        return began + self.duration * (1 - DRIFT)
