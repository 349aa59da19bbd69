"""State that the parts of a daemon share."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import math
import random
import secrets
import threading

from chestnutshunt.attempts import quarantine
from chestnutshunt import clock
from chestnutshunt.deployment import deployment
from chestnutshunt.jobs import job_codec
from chestnutshunt import median_time
from chestnutshunt.membership import fleet_member
from chestnutshunt.membership import topology
from chestnutshunt.ratelimit import permit_issuer
from chestnutshunt.ratelimit import rate_gate
from chestnutshunt.replicas import place
from chestnutshunt.replicas import replica_view
from chestnutshunt.routing import rendezvous
from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object
from chestnutshunt.streams import origin_table
from chestnutshunt.streams import software_history
from chestnutshunt.streams import software_record
from chestnutshunt.streams import stream_origin
from chestnutshunt import system_clock
from chestnutshunt.usage import window_counts
from chestnutshunt.weights import model_demand
from chestnutshunt_daemon.fleet import fleet_metrics
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import store_schema
from chestnutshunt_daemon.fleet import topology_view
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_daemon.targets import stream_origins

__all__ = ['DAEMON_KIND', 'ORIGIN_KIND', 'SOFTWARE_KIND', 'FleetState']

LOG = logging.getLogger(__name__)

# Kind of the registrations by which daemons find each other.
DAEMON_KIND = 'daemon'

# Kind of the records of the software versions that targets run, by service.
SOFTWARE_KIND = 'software'

# Kind of the pages of origins of streams, which are read when needed only.
ORIGIN_KIND = 'origin'

# Time between heartbeats to one peer, without the addition for each peer.
HEARTBEAT_S = 0.4

# Added for each hub, to limit the heartbeat traffic of a large mesh.
HEARTBEAT_PER_PEER_S = 0.01

# Hubs to which a leaf sends its heartbeats in turn.
MIN_LINK_COUNT = topology.MIN_HUB_COUNT

# Time between heartbeats of a leaf.
LEAF_HEARTBEAT_S = 0.5

# A peer counts as lost after this many heartbeat periods of silence.
LIVE_HEARTBEAT_COUNT = 2.5

# The store counts as lost after this time without a successful read.
STORE_LOST_S = 1.0

# A read of a store in another region takes longer than this.
NEAR_STORE_S = 0.015


class FleetState:
    """State of one daemon.

    `stop_at` is the monotonic time in seconds at which a daemon that shuts
    down ends the requests that are still open. The callables are set by the
    parts that implement them and do nothing until then.

    Parameters
    ----------
    config : FleetSettings
        Settings of the daemon.
    schema : StoreSchema
        Kinds of mirrored objects and their decoders.
    clock : Clock, optional
        Clock of all parts; the system's by default.
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
            job_codec.JOB_KIND,
            DAEMON_KIND,
            SOFTWARE_KIND,
        )
        self.mirrors = {
            kind: kind_mirror.KindMirror(kind, self.clock) for kind in kinds
        }
        self.topology = topology_view.TopologyView(
            fleet_member.FleetMember(
                config.name,
                config.peer_address,
                config.datacentre,
                config.capacity,
            ),
            self.mirrors[DAEMON_KIND],
            self.clock,
        )
        self.place = place.Place(config.datacentre, config.regions)
        self.replicas = replica_view.ReplicaView(
            self.mirrors[schema.replica_kind],
            schema.decode_replica,
            self.place,
            self.clock,
            random.Random(),
        )
        self.rate_gate = rate_gate.RateGate(self.clock)
        self.replicas.may_send = self.rate_gate.allows
        self.origins = stream_origins.StreamOrigins(
            self.replicas,
            origin_table.OriginTable(self.clock),
            software_history.SoftwareHistory(self.clock),
        )
        self.origins.has_record = self.has_software_record
        self.mirrors[SOFTWARE_KIND].listeners.append(self.recall_software)
        self.time = median_time.MedianTime(self.clock)
        self.counts = window_counts.WindowCounts(config.usage_window_s)
        self.quarantine = quarantine.Quarantine(self.clock)
        self.metrics = fleet_metrics.FleetMetrics()
        self.deployment: deployment.Deployment | None = None
        self.config_lock = threading.Lock()
        self.peers: dict[str, peer_info.PeerInfo] = {}
        self.leaves_by_hub: dict[str, tuple[float, frozenset[str]]] = {}
        self.store_read_s = -1.0
        self.store_reachable = True
        self.store_read_at = self.started_at
        self.is_holder: Callable[[], bool] = lambda: False
        self.lease_version: Callable[[], int] = lambda: 0
        self.note_lease: Callable[[int], None] = lambda version: None
        self.own_demands: Callable[[], dict[str, model_demand.ModelDemand]] = (
            dict
        )
        self.running_job_ids: Callable[[], list[str]] = list
        self.leaving = threading.Event()
        self.stop_at = math.inf
        self.stopped = threading.Event()
        self.wake_peers: Callable[[], None] = lambda: None
        self.pull_from: Callable[[str, list[str]], None] = lambda *_: None
        for mirror in self.mirrors.values():
            mirror.listeners.append(lambda: self.wake_peers())
        self.mirrors[schema.config_kind].listeners.append(self.apply_config)

    def apply_config(self) -> None:
        """Put the newest configuration in force.

        A malformed or an older configuration is logged and ignored. Several
        threads may call this at once, each after another change.
        """
        with self.config_lock:
            stored = self.mirrors[self.schema.config_kind].get(
                self.schema.config_name
            )
            if stored is not None:
                self.apply_stored_config(stored)

    def apply_stored_config(self, stored: stored_object.StoredObject) -> None:
        """Put a configuration in force unless it is older; needs the lock."""
        try:
            decoded = self.schema.decode_config(stored.value)
        except (KeyError, TypeError, ValueError) as exc:
            LOG.error(
                'Malformed configuration ignored; the last one stays in force',
                extra={'revision': stored.version, 'error': repr(exc)},
            )
            return
        before = self.deployment
        if before is not None and decoded.version < before.version:
            LOG.warning(
                'Older configuration ignored',
                extra={'version': decoded.version, 'held': before.version},
            )
            return
        self.deployment = decoded
        LOG.info(
            'Configuration in force',
            extra={
                'version': decoded.version,
                'revision': stored.version,
                'routes': len(decoded.routes),
                'age_s': round(self.config_age_s(), 3),
            },
        )

    def software_record(
        self, service: str
    ) -> software_record.SoftwareRecord | None:
        """Return the record of the versions that targets of a service run.

        A malformed one is logged and ignored.
        """
        stored = self.mirrors[SOFTWARE_KIND].get(service)
        if stored is None:
            return None
        try:
            return software_record.SoftwareRecord.decode(stored.value)
        except (KeyError, TypeError, ValueError) as exc:
            LOG.warning(
                'Malformed record of software versions ignored',
                extra={'service': service, 'error': repr(exc)},
            )
            return None

    def has_software_record(self, services: Iterable[str]) -> bool:
        """Return whether all versions that began streams are on record."""
        now = self.time.now()
        records = [self.software_record(service) for service in services]
        return all(
            record is not None and record.covers_all_streams(now)
            for record in records
        )

    def recall_software(self) -> None:
        """Take over the records of the versions that targets have run.

        Versions that they name as in service have left only now, if they
        have left at all.
        """
        now = self.clock.monotonic()
        for stored in self.mirrors[SOFTWARE_KIND].values():
            record = self.software_record(stored.name)
            if record is None:
                continue
            ages_s = dict.fromkeys(record.present, 0.0) | {
                software: max(self.time.now() - at, 0.0)
                for software, at in record.left.items()
            }
            for software, age_s in ages_s.items():
                self.origins.history.recall(
                    stream_origin.StreamOrigin(stored.name, software),
                    now - age_s,
                )

    def config_age_s(self) -> float:
        """Return the seconds since the configuration was last confirmed."""
        return self.mirrors[self.schema.config_kind].age_s

    def count_request(self, workspace: str, number: int) -> None:
        """Count a request that starts now, or subtract one with -1."""
        if workspace and number:
            self.counts.add(workspace, self.time.now(), number)

    @property
    def is_hub(self) -> bool:
        """Whether this daemon is linked to all hubs; see `topology`."""
        return self.topology.current.is_hub

    def heartbeat_s(self) -> float:
        """Return the current time between two heartbeats to one hub."""
        hubs = sum(peer.hub for peer in list(self.peers.values()))
        return HEARTBEAT_S + HEARTBEAT_PER_PEER_S * hubs

    def live_peers(self) -> list[peer_info.PeerInfo]:
        """Return the peers whose last heartbeat is recent.

        Those of a leaf are its hubs and the hubs that these have heard.
        """
        now = self.clock.monotonic()
        leaf_live_s = LIVE_HEARTBEAT_COUNT * MIN_LINK_COUNT * LEAF_HEARTBEAT_S
        hub_live_s = LIVE_HEARTBEAT_COUNT * self.heartbeat_s()
        if not self.is_hub:
            hub_live_s += leaf_live_s
        return [
            peer
            for peer in list(self.peers.values())
            if now - peer.heard_at <= (hub_live_s if peer.hub else leaf_live_s)
        ]

    def live_hubs(self) -> list[peer_info.PeerInfo]:
        """Return the live peers that are hubs."""
        return [peer for peer in self.live_peers() if peer.hub]

    def live_leaves(self) -> list[peer_info.PeerInfo]:
        """Return the live leaves that this daemon has heard itself."""
        return [
            peer
            for peer in self.live_peers()
            if not peer.hub and not peer.relayed
        ]

    def store_peers(self) -> list[peer_info.PeerInfo]:
        """Return the live hubs that reach the store and are not leaving."""
        return [
            peer
            for peer in self.live_hubs()
            if peer.store_read_s >= 0 and not peer.leaving
        ]

    def demands(self) -> dict[str, model_demand.ModelDemand]:
        """Return the demand for each model over all live daemons."""
        summed = dict(self.own_demands())
        for peer in self.live_peers():
            for model, demand in peer.demands.items():
                own = summed.get(model, model_demand.ModelDemand())
                summed[model] = own.plus(demand)
        return summed

    def plan_links(self) -> topology.Topology:
        """Return the links that this daemon should have now."""
        leaving = {
            peer.name for peer in list(self.peers.values()) if peer.leaving
        }
        if self.leaving.is_set():
            leaving.add(self.config.name)
        return self.topology.refresh(frozenset(leaving))

    def note_store_read(self, seconds: float, error: str = '') -> None:
        """Record a read of the store; log when the store is lost or regained.

        Parameters
        ----------
        seconds : float
            Duration of the read; negative if it failed.
        error : str, optional
            Reason of the failure.
        """
        now = self.clock.monotonic()
        self.store_read_s = seconds
        reachable = seconds >= 0
        if reachable:
            self.store_read_at = now
        elif now - self.store_read_at < STORE_LOST_S:
            return
        if reachable != self.store_reachable:
            self.store_reachable = reachable
            LOG.warning(
                'Store regained' if reachable else 'Store lost',
                extra={
                    'error': error,
                    'own_read_s_ago': round(now - self.store_read_at, 3),
                },
            )

    def all_peers_live(self) -> bool:
        """Return whether every daemon that may run jobs is live.

        These are all daemons in a full mesh, else the hubs.
        """
        current = self.topology.current
        names = set(current.hubs) | set(current.unusable)
        return names <= {peer.name for peer in self.live_peers()}

    def permit_delay_s(self, service: str) -> float:
        """Return the mean seconds until targets take one more request.

        0 unless all targets of the service limit the rate of requests.
        """
        rates = [
            self.rate_gate.limits.rate(target)
            for target in self.replicas.serving(service)
        ]
        if not rates or None in rates:
            return 0.0
        return 1.0 / max(sum(rates), permit_issuer.MIN_RATE)

    def hub_share(self) -> float:
        """Return the part of all hubs that is live, this daemon included.

        Parts of a divided fleet that hear only themselves add up to one. 0
        while this daemon knows no registration, and for a leaf.
        """
        if not self.is_hub or not self.topology.members:
            return 0.0
        current = self.topology.current
        names = set(current.hubs) | set(current.unusable)
        live = names & {peer.name for peer in self.live_hubs()}
        return (1 + len(live)) / (1 + len(names))

    def reader_rank(self, kind: str) -> int:
        """Return the rank of this hub among the readers of a kind.

        The hub of rank 0 reads first. Hubs near the store come before the
        others, since traffic between regions is charged; within each group
        the order is that of a rendezvous hash of kind and name.
        """
        candidates = [
            (peer.store_read_s > NEAR_STORE_S, peer.name)
            for peer in self.store_peers()
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
