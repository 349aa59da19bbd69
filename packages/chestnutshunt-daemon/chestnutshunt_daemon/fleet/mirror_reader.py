"""Keeps the mirrors of the store up to date."""

from returns import result

from chestnutshunt.routing import rendezvous
from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['MirrorReader']

# Added to the period for each daemon of a lower rank, so that normally one
# daemon reads and the others get the objects from it.
STANDBY_S = 1.2

# Daemons of higher ranks wait as long as those of this rank.
MAX_RANK = 3

# Longest time that is added for a leaf beyond that, in the order of their
# hashes: leaves read only when no hub can, and not all at once.
LEAF_SPREAD_S = 4.0

# For this long after its start a seed, or a daemon without peers, reads
# registrations at this period.
DISCOVERY_S = 5.0
DISCOVERY_PERIOD_S = 0.3

# A seed stops that once no registration has changed for this time.
DISCOVERY_QUIET_S = 1.2

# For this long after its start a daemon that is no seed waits for one; longer
# if a seed has replied, which may not have read everything yet.
SEED_WAIT_S = 1.5
REPLIED_SEED_WAIT_S = 4.0

# Delay after a failed read, of a hub and of a leaf.
RETRY_S = 0.3
LEAF_RETRY_S = 1.5

# Time between two probes of a store that failed, by a hub and by a leaf; the
# store also counts calls that it refuses.
PROBE_PERIOD_S = 1.0
LEAF_PROBE_PERIOD_S = 3.0

# Part of the time that a change of the configuration may take after which a
# daemon reads one from the store that its peers have announced.
HUB_PULL_RATIO = 0.3
LEAF_PULL_RATIO = 0.5

# Least and longest time between two checks of whether a read is due.
POLL_S = 0.1
MAX_POLL_S = 0.5

SCORE_RANGE = 2**64


class MirrorReader:
    """Reads one kind whenever its mirror is older than its period.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    store : ObjectStore
        The store, called directly and not through a peer.
    kind : str
        Kind to read.
    period_s : float
        Age of the mirror in seconds at which the daemon of rank 0 reads.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: object_store.ObjectStore,
        kind: str,
        period_s: float,
    ) -> None:
        self.state = state
        self.store = store
        self.kind = kind
        self.period_s = period_s
        self.mirror = state.mirrors[kind]
        self.read_at = 0.0

    def run(self) -> None:
        """Read until the daemon stops."""
        while not self.state.stopped.is_set():
            if self.is_due():
                if not self.read():
                    self.state.stopped.wait(
                        RETRY_S if self.state.is_hub else LEAF_RETRY_S
                    )
            else:
                due_s = self.due_age_s() - self.mirror.age_s
                self.state.stopped.wait(min(max(due_s, POLL_S), MAX_POLL_S))

    def is_due(self) -> bool:
        """Return whether this daemon has to read now."""
        if self.is_waiting_for_seed():
            return False
        if self.is_probe_due():
            return True
        if not self.state.is_hub and self.is_store_lost():
            return False
        if self.is_pull_overdue():
            return True
        return self.mirror.age_s >= self.due_age_s()

    def due_age_s(self) -> float:
        """Return the age of the mirror at which this daemon reads."""
        if self.kind == fleet_state.DAEMON_KIND and self.is_discovering():
            return DISCOVERY_PERIOD_S
        if self.state.is_hub:
            rank = min(self.state.reader_rank(self.kind), MAX_RANK)
            return self.period_s + rank * STANDBY_S
        rank = MAX_RANK if self.state.live_hubs() else 0
        score = rendezvous.score(self.kind, self.state.config.name)
        spread = int.from_bytes(score) / SCORE_RANGE
        return self.period_s + rank * STANDBY_S + spread * LEAF_SPREAD_S

    def is_waiting_for_seed(self) -> bool:
        """Return whether a seed may still tell what the store holds."""
        config = self.state.config
        if not config.seeds or config.is_seed:
            return False
        uptime_s = self.state.clock.monotonic() - self.state.started_at
        has_replied = bool(self.state.peers)
        return self.mirror.confirmed_at is None and uptime_s < (
            REPLIED_SEED_WAIT_S if has_replied else SEED_WAIT_S
        )

    def is_store_lost(self) -> bool:
        """Return whether the last call to the store failed."""
        return self.state.store_read_s < 0

    def is_probe_due(self) -> bool:
        """Return whether to check if a store that failed answers again."""
        if self.kind != self.state.schema.config_kind:
            return False
        now = self.state.clock.monotonic()
        period_s = PROBE_PERIOD_S
        if not self.state.is_hub:
            period_s = LEAF_PROBE_PERIOD_S
        return self.is_store_lost() and now - self.read_at > period_s

    def is_pull_overdue(self) -> bool:
        """Return whether a change of the configuration does not get here.

        A peer has announced it, but no pull has brought it.
        """
        if self.kind != self.state.schema.config_kind:
            return False
        ratio = HUB_PULL_RATIO if self.state.is_hub else LEAF_PULL_RATIO
        return self.mirror.behind_s > ratio * self.state.config.config_s

    def is_discovering(self) -> bool:
        """Return whether registrations may come in quick succession."""
        now = self.state.clock.monotonic()
        if now - self.state.started_at > DISCOVERY_S:
            return False
        if self.state.config.is_seed:
            return now - self.state.topology.changed_at < DISCOVERY_QUIET_S
        return not self.state.live_peers()

    def read(self) -> bool:
        """Read the kind; return whether the read succeeded."""
        started_at = self.state.clock.monotonic()
        self.read_at = started_at
        match self.store.list_kind(self.kind):
            case result.Success(listing):
                self.mirror.apply_listing(
                    listing.revision, listing.objects, started_at
                )
                duration_s = self.state.clock.monotonic() - started_at
                self.state.note_store_read(duration_s)
                return True
            case result.Failure(exc):
                self.state.note_store_read(-1.0, exc.message)
                return False
