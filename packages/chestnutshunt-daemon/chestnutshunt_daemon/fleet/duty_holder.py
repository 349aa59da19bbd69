"""Holds the duties that one daemon at a time carries out."""

import logging

from chestnutshunt.lease import lease
from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['DutyHolder']

LOG = logging.getLogger(__name__)

LEASE_NAME = 'duties'

LEASE_SHARE = 0.67
"""Share of the time within which holders may not take turns that a lease
lasts; two leases are longer than that time."""

ACT_AFTER_S = 0.3
"""Seconds; a call of the last holder is on its way for a few milliseconds."""

RENEW_SHARE = 0.55
"""Share of the lease's time that is left when it is renewed."""

LOOK_S = 0.15
"""Seconds between two looks at the lease."""

CANDIDATE_S = 0.3
"""Seconds between two tries to take a lease that no live peer holds."""


class DutyHolder:
    """Renews or takes the lease.

    The lease lasts two thirds of the time within which holders may not take
    turns: for the first holder to act again the lease has to lapse twice. A
    new holder waits a little before it acts, so that what the last one sent
    has arrived.

    Parameters
    ----------
    state : FleetState
        The daemon.
    store : ObjectStore
        Where the lease is.
    """

    def __init__(
        self, state: fleet_state.FleetState, store: object_store.ObjectStore
    ) -> None:
        self.state = state
        self.lease = lease.Lease(
            store,
            state.clock,
            LEASE_NAME,
            state.config.name,
            duration_s=state.config.lease_s * LEASE_SHARE,
            sole_process=True,
        )
        self.held_since = 0.0
        self.was_held = False
        state.is_holder = lambda: self.lease.is_held
        state.lease_version = lambda: self.lease.version
        state.note_lease = self.lease.observe_version

    def run(self) -> None:
        """Tend the lease until the daemon stops."""
        tried_at = 0.0
        while not self.state.stopped.wait(LOOK_S):
            now = self.state.clock.monotonic()
            if self.lease.is_held:
                left = self.lease.valid_until - now
                if self.state.leaving.is_set():
                    self.lease.release()
                elif left < RENEW_SHARE * self.lease.duration_s:
                    self.lease.renew_or_acquire()
            elif now - tried_at > CANDIDATE_S and self.is_candidate():
                tried_at = now
                self.lease.renew_or_acquire()
            self.note()

    def is_candidate(self) -> bool:
        """Tell whether this daemon may try to take the lease."""
        if self.state.leaving.is_set() or self.state.deployment is None:
            return False
        return not any(peer.holder for peer in self.state.live_peers())

    def note(self) -> None:
        """Log when the lease is gained or lost."""
        if self.lease.is_held == self.was_held:
            return
        self.was_held = self.lease.is_held
        if self.was_held:
            self.held_since = self.state.clock.monotonic()
        LOG.info(
            'Duties taken' if self.was_held else 'Duties lost',
            extra={'fence': self.lease.fence, 'revision': self.lease.version},
        )
        self.state.wake_peers()

    def fence(self) -> int:
        """Return the fencing number if this daemon may act now, else 0."""
        now = self.state.clock.monotonic()
        if not self.was_held or not self.lease.is_held:
            return 0
        if now - self.held_since < ACT_AFTER_S:
            return 0
        return self.lease.fence
