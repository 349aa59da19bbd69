"""Everything that the parts of a serving daemon share."""

from collections.abc import Callable
import logging
import random
import secrets
import threading

from chestnutshunt import agreed_time
from chestnutshunt.attempts import quarantine
from chestnutshunt import clock
from chestnutshunt.deployment import deployment
from chestnutshunt.jobs import job_form
from chestnutshunt.replicas import place
from chestnutshunt.replicas import replica_view
from chestnutshunt.routing import rendezvous
from chestnutshunt.store import kind_mirror
from chestnutshunt import system_clock
from chestnutshunt.usage import window_counts
from chestnutshunt_daemon.fleet import fleet_metrics
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import store_schema
from chestnutshunt_daemon.peers import peer_info

__all__ = ['DAEMON_KIND', 'FleetState']

LOG = logging.getLogger(__name__)

DAEMON_KIND = 'daemon'
"""Objects by which daemons find each other."""

HEARTBEAT_S = 0.4
"""Seconds between heartbeats to one peer where there are few."""

HEARTBEAT_FOR_PEER_S = 0.01
"""Seconds added for each peer, so that a large mesh keeps to its budget."""

LIVE_HEARTBEATS = 2.5
"""Heartbeats that may be missing before a peer counts as lost."""

STORE_LOST_S = 1.0
"""Seconds without any read after which the store counts as lost."""

NEAR_STORE_S = 0.015
"""Seconds; a read from another region takes longer."""


class FleetState:
    """State of one daemon.

    Parameters
    ----------
    config : FleetSettings
        The daemon's own settings.
    schema : StoreSchema
        How the platform writes what is mirrored.
    clock : Clock, optional
        Clock of all parts.
    """

    def __init__(
        self,
        config: fleet_settings.FleetSettings,
        schema: store_schema.StoreSchema,
        clock: clock.Clock | None = None,
    ) -> None:
        self.config = config
        self.schema = schema
        self.clock = clock or system_clock.SystemClock()
        self.incarnation = secrets.token_hex(6)
        self.started_at = self.clock.monotonic()
        kinds = (
            schema.config_kind,
            schema.replica_kind,
            schema.version_kind,
            schema.retirement_kind,
            job_form.JOB_KIND,
            DAEMON_KIND,
        )
        self.mirrors = {
            kind: kind_mirror.KindMirror(kind, self.clock) for kind in kinds
        }
        self.place = place.Place(config.datacentre, config.regions)
        self.replicas = replica_view.ReplicaView(
            self.mirrors[schema.replica_kind],
            schema.decode_replica,
            self.place,
            self.clock,
            random.Random(),
        )
        self.time = agreed_time.AgreedTime(self.clock)
        self.counts = window_counts.WindowCounts(config.usage_window_s)
        self.quarantine = quarantine.Quarantine(self.clock)
        self.metrics = fleet_metrics.FleetMetrics()
        self.deployment: deployment.Deployment | None = None
        self.peers: dict[str, peer_info.PeerInfo] = {}
        self.store_read_s = -1.0
        self.store_reached = True
        self.store_read_at = self.started_at
        self.is_holder: Callable[[], bool] = lambda: False
        self.lease_version: Callable[[], int] = lambda: 0
        self.note_lease: Callable[[int], None] = lambda version: None
        self.running_job_ids: Callable[[], list[str]] = list
        self.leaving = threading.Event()
        self.stopped = threading.Event()
        self.wake_peers: Callable[[], None] = lambda: None
        self.pull_from: Callable[[str, list[str]], None] = lambda *_: None
        for mirror in self.mirrors.values():
            mirror.listeners.append(lambda: self.wake_peers())
        self.mirrors[schema.config_kind].listeners.append(self.apply_config)

    def apply_config(self) -> None:
        """Put the newest configuration in force."""
        held = self.mirrors[self.schema.config_kind].get(
            self.schema.config_name
        )
        if held is None:
            return
        try:
            made = self.schema.decode_config(held.value)
        except (KeyError, TypeError, ValueError) as exc:
            LOG.error(
                'A configuration cannot be read; the last one stays in force',
                extra={'revision': held.version, 'error': repr(exc)},
            )
            return
        before = self.deployment
        if before is not None and made.version < before.version:
            LOG.warning(
                'An older configuration is ignored',
                extra={'version': made.version, 'held': before.version},
            )
            return
        self.deployment = made
        LOG.info(
            'Configuration in force',
            extra={
                'version': made.version,
                'revision': held.version,
                'routes': len(made.routes),
                'age_s': round(self.config_age_s(), 3),
            },
        )

    def config_age_s(self) -> float:
        """Return the seconds since the configuration was confirmed."""
        return self.mirrors[self.schema.config_kind].age_s

    def count_request(self, workspace: str, number: int) -> None:
        """Count a request that begins now, or take one back with -1."""
        if workspace and number:
            self.counts.add(workspace, self.time.now(), number)

    def heartbeat_s(self) -> float:
        """Return the seconds between two heartbeats to one peer."""
        return HEARTBEAT_S + HEARTBEAT_FOR_PEER_S * len(self.peers)

    def live_peers(self) -> list[peer_info.PeerInfo]:
        """Return the peers heard of lately."""
        live_s = LIVE_HEARTBEATS * self.heartbeat_s()
        oldest = self.clock.monotonic() - live_s
        return [
            item
            for item in list(self.peers.values())
            if item.heard_at >= oldest
        ]

    def store_peers(self) -> list[peer_info.PeerInfo]:
        """Return the live peers that stay and reach the store."""
        return [
            item
            for item in self.live_peers()
            if item.store_read_s >= 0 and not item.leaving
        ]

    def note_store_read(self, seconds: float, error: str = '') -> None:
        """Note a read of the store, and log when it is lost or regained.

        Parameters
        ----------
        seconds : float
            How long the read took; negative if it failed.
        error : str, optional
            Why it failed.
        """
        now = self.clock.monotonic()
        self.store_read_s = seconds
        reached = seconds >= 0
        if reached:
            self.store_read_at = now
        elif now - self.store_read_at < STORE_LOST_S:
            return
        if reached != self.store_reached:
            self.store_reached = reached
            LOG.warning(
                'Store regained' if reached else 'Store lost',
                extra={
                    'error': error,
                    'own_read_s_ago': round(now - self.store_read_at, 3),
                },
            )

    def all_peers_live(self) -> bool:
        """Tell whether every other registered daemon is live."""
        known = {item.name for item in self.mirrors[DAEMON_KIND].values()}
        known.discard(self.config.name)
        return known <= {item.name for item in self.live_peers()}

    def reader_rank(self, kind: str) -> int:
        """Return how many live daemons go first in reading a kind.

        Those near the store go first, since bytes between regions cost.
        """
        candidates = [
            (item.store_read_s > NEAR_STORE_S, item.name)
            for item in self.store_peers()
        ]
        own = (
            self.store_read_s > NEAR_STORE_S or self.store_read_s < 0,
            self.config.name,
        )
        order = sorted(
            [*candidates, own],
            key=lambda pair: (pair[0], rendezvous.score(kind, pair[1])),
        )
        return order.index(own)
