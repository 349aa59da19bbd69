"""Holds the lease of the duties that one daemon at a time carries out."""

import logging
import threading

from chestnutshunt.lease import lease
from chestnutshunt.routing import rendezvous
from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['DutyHolder']

LOG = logging.getLogger(__name__)

LEASE_NAME = 'duties'

# Duration of the lease as a share of the setting ``lease_s``, within which the
# duties may not pass to another daemon and back; two leases last longer.
LEASE_RATIO = 0.67

# Delay before a new holder acts; a call of the previous holder is in transit
# for a few milliseconds.
ACT_DELAY_S = 0.3

# The lease is renewed when this share of its duration is left.
RENEW_RATIO = 0.55

# Time between two checks of the lease.
PERIOD_S = 0.15

# The same for a leaf, which never holds it.
LEAF_PERIOD_S = 1.0

# Time between two attempts to acquire a lease that no live peer holds.
ACQUIRE_PERIOD_S = 0.3

# Hubs that try to acquire it at first, and the time without a holder after
# which every hub does.
CANDIDATE_COUNT = 2
CANDIDATE_S = 4.0


class DutyHolder:
    """Acquires and renews the lease of the duties.

    Within ``lease_s`` seconds the duties may not pass to another daemon and
    back. A holder may release the lease at any time, so a former holder waits
    until that time has passed since it last acted. A new holder waits before
    it acts, so that the calls of the previous one have arrived.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    store : ObjectStore
        Store that keeps the lease.

    Attributes
    ----------
    held_event : Event
        Set while this daemon holds the lease.
    acted_at : float
        Monotonic time in seconds until which this daemon may have acted; at
        first the start, as it may have acted before that.
    may_act_at : float
        Monotonic time in seconds from which it may act in this tenure.
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
            duration_s=state.config.lease_s * LEASE_RATIO,
            sole_process=True,
        )
        self.acted_at = state.clock.monotonic()
        self.may_act_at = 0.0
        self.noted_fence = 0
        self.held_event = threading.Event()
        self.holder_heard_at = state.clock.monotonic()
        self.was_held = False
        state.is_holder = lambda: self.lease.is_held
        state.lease_version = lambda: self.lease.version
        state.note_lease = self.lease.observe_version

    def run(self) -> None:
        """Acquire, renew or release the lease until the daemon stops."""
        attempted_at = 0.0
        while not self.state.stopped.wait(
            PERIOD_S if self.state.is_hub or self.was_held else LEAF_PERIOD_S
        ):
            now = self.state.clock.monotonic()
            if self.lease.is_held:
                left = self.lease.valid_until - now
                if self.state.leaving.is_set() or not self.state.is_hub:
                    self.lease.release()
                elif left < RENEW_RATIO * self.lease.duration_s:
                    self.lease.renew_or_acquire()
            elif now - attempted_at > ACQUIRE_PERIOD_S and self.is_candidate():
                attempted_at = now
                self.lease.renew_or_acquire()
            self.note_change()

    def is_candidate(self) -> bool:
        """Return whether this daemon may try to acquire the lease.

        Only hubs hear the usage counts of the whole fleet.
        """
        if self.state.leaving.is_set() or self.state.deployment is None:
            return False
        if not self.state.is_hub or not self.state.topology.members:
            return False
        now = self.state.clock.monotonic()
        if any(peer.holder for peer in self.state.live_peers()):
            self.holder_heard_at = now
            return False
        if now - self.holder_heard_at > CANDIDATE_S:
            return True
        names = [peer.name for peer in self.state.store_peers()]
        names.append(self.state.config.name)
        first = rendezvous.rank(LEASE_NAME, names)[:CANDIDATE_COUNT]
        return self.state.config.name in first

    def note_change(self) -> None:
        """Log that the lease was acquired or lost, and tell the peers."""
        held = self.lease.is_held
        fence = self.lease.fence if held else 0
        if fence == self.noted_fence:
            return
        self.noted_fence = fence
        self.was_held = held
        if held:
            self.may_act_at = self.begin_at()
            self.held_event.set()
        else:
            self.held_event.clear()
        LOG.info(
            'Duties taken' if held else 'Duties lost',
            extra={
                'fence': self.lease.fence,
                'revision': self.lease.version,
                'acts_in_s': round(
                    self.may_act_at - self.state.clock.monotonic(), 3
                )
                if held
                else None,
            },
        )
        self.state.wake_peers()

    def begin_at(self) -> float:
        """Return the monotonic time in seconds at which a tenure begins."""
        begin_at = self.state.clock.monotonic() + ACT_DELAY_S
        if not self.lease.follows_other:
            return begin_at
        lease_s = self.state.config.lease_s
        return max(begin_at, self.acted_at + lease_s + ACT_DELAY_S)

    def fence(self) -> int:
        """Return the fencing number, or 0 if this daemon may not act now."""
        now = self.state.clock.monotonic()
        fence = self.lease.fence
        if not self.lease.is_held or fence != self.noted_fence:
            return 0
        if now < self.may_act_at:
            return 0
        self.acted_at = now
        return fence
