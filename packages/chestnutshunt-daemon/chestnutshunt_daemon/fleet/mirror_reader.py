"""Keeps the mirrors up to date from the store."""

from returns import result

from chestnutshunt.store import object_store
from chestnutshunt_daemon.fleet import fleet_state

__all__ = ['MirrorReader']

STANDBY_S = 1.2
"""Seconds added for each daemon that goes first, so that normally one reads
and the others hear from it."""

MAX_RANK = 3

START_S = 5.0
MEET_S = 0.3
"""Seconds after the start in which a daemon without peers looks for them, and
how often: until it has found them it reads all kinds alone."""

RETRY_S = 0.3
"""Seconds after a failed read."""

PROBE_S = 1.0
"""Seconds between two tries at a store that failed; calls that it refuses
are counted too."""

LOOK_S = 0.1
"""Seconds between two looks at whether a read is due."""


class MirrorReader:
    """Reads one kind whenever what is known of it has grown old.

    Parameters
    ----------
    state : FleetState
        The daemon.
    store : ObjectStore
        The store, reached directly.
    kind : str
        Kind to read.
    period_s : float
        Age in seconds at which the first reader reads again.
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
                self.state.stopped.wait(LOOK_S)

    def is_due(self) -> bool:
        """Tell whether it is this daemon's turn to read."""
        if self.is_probe_due():
            return True
        age = self.mirror.age_s
        period = self.period_s
        if self.kind == fleet_state.DAEMON_KIND and self.is_alone():
            period = min(period, MEET_S)
        if age < period:
            return False
        rank = min(self.state.reader_rank(self.kind), MAX_RANK)
        return age >= period + rank * STANDBY_S

    def is_probe_due(self) -> bool:
        """Tell whether to find out if a store that failed answers again."""
        if self.kind != self.state.schema.config_kind:
            return False
        now = self.state.clock.monotonic()
        return self.state.store_read_s < 0 and now - self.read_at > PROBE_S

    def is_alone(self) -> bool:
        """Tell whether this daemon has just started and knows no peer."""
        age = self.state.clock.monotonic() - self.state.started_at
        return age < START_S and not self.state.live_peers()

    def read(self) -> bool:
        """Read the kind; return False if the store did not answer."""
        began = self.state.clock.monotonic()
        self.read_at = began
        match self.store.list_kind(self.kind):
            case result.Success(found):
                self.mirror.take_listing(found.revision, found.objects, began)
                seconds = self.state.clock.monotonic() - began
                self.state.note_store_read(seconds)
                return True
            case result.Failure(exc):
                self.state.note_store_read(-1.0, exc.message)
                return False
