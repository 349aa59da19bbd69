"""Keeps the mirrors of the store up to date."""

from returns import result

from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['MirrorReader']

# Added to the period for each daemon of a lower rank, so that normally one
# daemon reads and the others get the objects from it.
STANDBY_S = 1.2

# Daemons of higher ranks wait as long as those of this rank.
MAX_RANK = 3

# For this long after its start a daemon without peers reads registrations at
# this period: until it has found peers it reads all kinds itself.
DISCOVERY_S = 5.0
DISCOVERY_PERIOD_S = 0.3

# Delay after a failed read.
RETRY_S = 0.3

# Time between two probes of a store that failed; the store also counts calls
# that it refuses.
PROBE_PERIOD_S = 1.0

# Time between two checks of whether a read is due.
POLL_S = 0.1


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
                    self.state.stopped.wait(RETRY_S)
            else:
                self.state.stopped.wait(POLL_S)

    def is_due(self) -> bool:
        """Return whether this daemon has to read now."""
        if self.is_probe_due():
            return True
        age_s = self.mirror.age_s
        period_s = self.period_s
        if self.kind == fleet_state.DAEMON_KIND and self.is_alone():
            period_s = min(period_s, DISCOVERY_PERIOD_S)
        if age_s < period_s:
            return False
        rank = min(self.state.reader_rank(self.kind), MAX_RANK)
        return age_s >= period_s + rank * STANDBY_S

    def is_probe_due(self) -> bool:
        """Return whether to check if a store that failed answers again."""
        if self.kind != self.state.schema.config_kind:
            return False
        now = self.state.clock.monotonic()
        return (
            self.state.store_read_s < 0 and now - self.read_at > PROBE_PERIOD_S
        )

    def is_alone(self) -> bool:
        """Return whether this daemon has just started and has no peer."""
        uptime_s = self.state.clock.monotonic() - self.state.started_at
        return uptime_s < DISCOVERY_S and not self.state.live_peers()

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
