"""A daemon's view of the targets, and load balancing among them."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import logging
import math
import random
import statistics
import threading

import attrs

from chestnutshunt import clock
from chestnutshunt.replicas import leaving_targets
from chestnutshunt.replicas import place
from chestnutshunt.replicas import replica
from chestnutshunt.replicas import replica_state
from chestnutshunt.routing import breaker
from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object
from chestnutshunt.streams import stream_origin

__all__ = ['SLOW_RATIO', 'ReplicaView']

LOG = logging.getLogger(__name__)

# After this time without a consistent read, registrations may have expired
# because targets could not renew them. Longer than a change of the reading
# daemon takes.
OUTAGE_S = 2.5

# A live target registers again within about 2 s after an outage.
LAPSE_GRACE_S = 2.2

# Longest time after which a registration that is read names the weights that
# its target has: three heartbeats, after which a silent one is removed.
REGISTRATION_LAG_S = 5.0

# Time for which the load that a target reported is used.
REPORTED_LOAD_TTL_S = 0.3

# Time for which the load that a peer reported is used.
PEER_LOAD_TTL_S = 1.5

# Cost of the distance to a target, as a ratio of its slots.
OTHER_DATACENTRE_COST_RATIO = 0.1
OTHER_REGION_COST_RATIO = 0.4

# Time for which a full target that refused a request is not used.
FULL_BACKOFF_S = 0.05

# Time for which a target that refused a request despite free slots is not
# used: it is loading weights, which takes about 1 s.
LOADING_BACKOFF_S = 0.2

# Time after the last event for which the interval of a target's events is
# used: a target that was slow may have recovered.
EVENT_INTERVAL_TTL_S = 4.0

# Time between two computations of the usual interval of a service.
USUAL_INTERVAL_PERIOD_S = 0.2

# A target whose events take this many times as long as usual is slow.
SLOW_RATIO = 1.8

# Cost of a target whose events come twice as slowly as is usual, as a ratio of
# its slots; and the greatest such cost.
SLOWNESS_COST_RATIO = 0.5
MAX_SLOWNESS_COST_RATIO = 1.5

# Cost of a target without an idle connection from here. Below the cost of
# another region, so that connections stay near.
NEW_CONNECTION_COST_RATIO = 0.3

# Weight of a new interval in the moving average of event intervals.
EVENT_INTERVAL_WEIGHT_RATIO = 0.2

# Upper limit of the random cost that breaks ties between targets.
TIE_BREAK_COST_RATIO = 0.02

Decoder = Callable[[stored_object.StoredObject], replica.Replica | None]


class ReplicaView:
    """Thread-safe view of the registered targets and their load.

    Parameters
    ----------
    mirror : KindMirror
        Mirror of the registrations.
    decoder : callable
        Builds a target from a registration; ``None`` if it is invalid.
    own_place : Place
        Location of this daemon.
    clock : Clock
        Clock for loads and health.
    rng : Random
        Source of randomness that breaks ties.
    """

    def __init__(
        self,
        mirror: kind_mirror.KindMirror,
        decoder: Decoder,
        own_place: place.Place,
        clock: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.mirror = mirror
        self.decoder = decoder
        self.own_place = own_place
        self.clock = clock
        self.rng = rng
        self.lock = threading.RLock()
        self.replicas: dict[str, replica.Replica] = {}
        self.states: dict[str, replica_state.ReplicaState] = {}
        self.leaving_targets = leaving_targets.LeavingTargets()
        self.lapsed_replicas: dict[str, tuple[float, replica.Replica]] = {}
        self.peer_loads: dict[str, tuple[float, dict[str, int]]] = {}
        self.usual_intervals: dict[str, tuple[float, float]] = {}
        self.has_connection: Callable[[str], bool] = lambda address: True
        self.may_send: Callable[[replica.Replica], bool] = lambda target: True
        self.is_current: Callable[[replica.Replica], bool] = lambda target: (
            True
        )
        mirror.listeners.append(self.refresh)

    def refresh(self) -> None:
        """Read all registrations from the mirror."""
        with self.lock:
            registered = {}
            for stored in self.mirror.values():
                target = None if stored.deleted else self.decoder(stored)
                if target is not None:
                    registered[target.id] = target
            self.keep_lapsed(registered)
            for target in registered.values():
                self.merge_versions(target, self.replicas.get(target.id))
            self.replicas = registered
            self.drop_stale_states()

    def merge_versions(
        self, target: replica.Replica, previous: replica.Replica | None
    ) -> None:
        """Update the known weight versions from a registration.

        A registration lags behind the versions in responses and orders, so
        only one that has changed tells something new. If the same process had
        registered a newer version, an order from before a restart has made
        the target load older weights.
        """
        before = {}
        if previous is not None and previous.start_key == target.start_key:
            before = previous.versions
        known = self.state(target).versions
        for model, version in target.versions.items():
            registered = before.get(model)
            if registered is not None and version < registered:
                self.record_version(target, model, version)
            elif version != registered and version > known.get(model, 0):
                self.record_version(target, model, version)

    def keep_lapsed(self, registered: dict[str, replica.Replica]) -> None:
        """Keep targets that are missing after an outage for a grace period.

        They could not renew their registration during the outage.
        """
        if self.mirror.confirmation_gap_s < OUTAGE_S:
            return
        now = self.clock.monotonic()
        for name, target in self.replicas.items():
            if name not in registered and not self.is_leaving(target):
                self.lapsed_replicas[name] = (now + LAPSE_GRACE_S, target)
                LOG.info(
                    'Target missing after an outage is kept for a while',
                    extra={
                        'target': name,
                        'outage_s': round(self.mirror.confirmation_gap_s, 3),
                    },
                )

    def drop_stale_states(self) -> None:
        """Drop the states of removed targets without requests in flight."""
        known = {item.start_key for item in self.replicas.values()}
        known |= {item.start_key for _, item in self.lapsed_replicas.values()}
        for start_key in set(self.states) - known:
            if not self.states[start_key].running:
                del self.states[start_key]

    def state(self, target: replica.Replica) -> replica_state.ReplicaState:
        """Return the observed state of a target, created on first use."""
        with self.lock:
            if target.start_key not in self.states:
                self.states[target.start_key] = replica_state.ReplicaState(
                    breaker.CircuitBreaker(self.clock, target.id)
                )
            return self.states[target.start_key]

    def list_all(self) -> list[replica.Replica]:
        """Return all targets, lapsed ones in their grace period included."""
        now = self.clock.monotonic()
        with self.lock:
            for name, (until, _) in list(self.lapsed_replicas.items()):
                if until < now or name in self.replicas:
                    del self.lapsed_replicas[name]
            lapsed = [target for _, target in self.lapsed_replicas.values()]
            return [*self.replicas.values(), *lapsed]

    def serving(self, service: str) -> list[replica.Replica]:
        """Return the targets of a service that accept new requests."""
        return [
            target
            for target in self.list_all()
            if target.service == service and not self.is_leaving(target)
        ]

    def is_leaving(self, target: replica.Replica) -> bool:
        """Return whether a target is shutting down.

        It says so in its registration or in a response, whichever comes
        first.
        """
        return target.leaving or target in self.leaving_targets

    def is_serving(self, target: replica.Replica) -> bool:
        """Return whether the process of a target still accepts requests."""
        with self.lock:
            current = self.replicas.get(target.id)
            if current is None and target.id in self.lapsed_replicas:
                until, lapsed = self.lapsed_replicas[target.id]
                current = lapsed if self.clock.monotonic() <= until else None
        return (
            current is not None
            and current.start_key == target.start_key
            and not self.is_leaving(current)
        )

    def load(self, target: replica.Replica) -> int:
        """Return the estimated number of requests at a target.

        The larger of what this daemon and its peers have there and what the
        target reported recently.
        """
        now = self.clock.monotonic()
        state = self.state(target)
        peers = sum(
            loads.get(target.id, 0)
            for received_at, loads in list(self.peer_loads.values())
            if now - received_at < PEER_LOAD_TTL_S
        )
        known = state.running + peers
        if now - state.reported_at < REPORTED_LOAD_TTL_S:
            return max(known, state.reported_running + state.reported_waiting)
        return known

    def set_peer_loads(self, name: str, loads: dict[str, int]) -> None:
        """Record how many requests a peer has at each target."""
        self.peer_loads[name] = (self.clock.monotonic(), loads)

    def own_loads(self) -> dict[str, int]:
        """Return how many requests this daemon has at each target."""
        with self.lock:
            return {
                target.id: state.running
                for target in self.replicas.values()
                if (state := self.states.get(target.start_key))
                and state.running
            }

    def fleet_loads(
        self, peers: Collection[str] | None = None
    ) -> dict[str, int]:
        """Return how many requests this daemon and peers have at targets.

        Parameters
        ----------
        peers : collection of str, optional
            Names of the peers to include; all by default.
        """
        oldest_at = self.clock.monotonic() - PEER_LOAD_TTL_S
        summed = self.own_loads()
        for name, (received_at, loads) in list(self.peer_loads.items()):
            if received_at < oldest_at:
                continue
            if peers is not None and name not in peers:
                continue
            for target, running in loads.items():
                summed[target] = summed.get(target, 0) + running
        return summed

    def choose(
        self,
        service: str,
        excluded: Collection[str] = (),
        origin: stream_origin.StreamOrigin | None = None,
        prefers: Callable[[replica.Replica], bool] | None = None,
    ) -> replica.Replica | None:
        """Return the target for a request, ``None`` if there is none.

        An ejected target is used only if there is no other.

        Parameters
        ----------
        service : str
            Service to which the target must belong.
        excluded : collection of str, optional
            Ids of targets that are not to be used.
        origin : StreamOrigin, optional
            The only suitable origin, to go on with a stream; any by default.
        prefers : callable, optional
            Tells which targets are used before the others.
        """
        candidates = self.candidates(service, excluded, origin)
        if prefers is not None:
            candidates = list(filter(prefers, candidates)) or candidates
        allowed = filter(self.may_send, candidates)
        return min(allowed, key=self.cost, default=None)

    def candidates(
        self,
        service: str,
        excluded: Collection[str] = (),
        origin: stream_origin.StreamOrigin | None = None,
    ) -> list[replica.Replica]:
        """Return the targets for a request, whether or not one is allowed.

        These are the healthy ones, or all if none is healthy. The parameters
        are those of `choose`.
        """
        serving = [
            item
            for item in self.serving(service)
            if item.id not in excluded
            and (origin is None or item.origin == origin)
        ]
        return [item for item in serving if self.is_healthy(item)] or serving

    def choose_engine(
        self,
        service: str,
        model: str,
        minimum: int,
        preferred: Iterable[str] = (),
        exact: int | None = None,
        avoided: str = '',
        origin: stream_origin.StreamOrigin | None = None,
    ) -> replica.Replica | None:
        """Return a target with a free slot and suitable weights.

        If all with suitable weights are ejected, each is probed now and then.

        Parameters
        ----------
        service : str
            Service to which the target must belong.
        model : str
            Model to generate with; empty for any.
        minimum : int
            Oldest suitable weight version.
        preferred : iterable of str
            Ids of targets that have already read the prompt.
        exact : int, optional
            The only suitable weight version, instead of `minimum`.
        avoided : str, optional
            Id of a target that is used only if there is no other.
        origin : StreamOrigin, optional
            The only suitable origin, to go on with a text; any by default.
        """
        candidates = [
            item
            for item in self.free_engines(service, model, minimum, exact)
            if self.may_send(item)
            and (origin is None or item.origin == origin)
        ]
        preferred_ids = set(preferred)
        others = [item for item in candidates if item.id != avoided]
        candidates = others or candidates
        warm = [
            item
            for item in candidates
            if item.id in preferred_ids
            and self.relative_interval(item) < SLOW_RATIO
        ]
        return min(warm or candidates, key=self.cost, default=None)

    def free_engines(
        self,
        service: str,
        model: str,
        minimum: int,
        exact: int | None = None,
    ) -> list[replica.Replica]:
        """Return the targets of which `choose_engine` returns one.

        Those to which no request may be sent now because of their rate limit
        are included. If all targets with suitable weights are ejected, these
        are the ones that may be probed.
        """
        now = self.clock.monotonic()
        suitable = [
            item
            for item in self.serving(service)
            if self.has_version(item, model, minimum, exact)
        ]
        usable = [item for item in suitable if self.is_healthy(item)] or [
            item for item in suitable if self.state(item).breaker.may_probe()
        ]
        return [
            item
            for item in usable
            if self.state(item).full_until <= now
            and self.state(item).loading_until <= now
            and self.load(item) < item.slots
        ]

    def has_version(
        self,
        target: replica.Replica,
        model: str,
        minimum: int,
        exact: int | None = None,
    ) -> bool:
        """Return whether a target has suitable weights of a model."""
        if not model:
            return True
        version = self.version(target, model)
        return version == exact if exact is not None else version >= minimum

    def version(self, target: replica.Replica, model: str) -> int:
        """Return the weight version that a target has; 0 if unknown.

        What its registration says counts once it is surely newer than what
        was learned otherwise.
        """
        with self.lock:
            state = self.state(target)
            registered = self.replicas.get(target.id, target)
            read_at = self.clock.monotonic() - self.mirror.age_s
            learned_at = state.versions_at.get(model, -math.inf)
            if (
                registered.start_key == target.start_key
                and model in registered.versions
                and read_at - learned_at > REGISTRATION_LAG_S
            ):
                return registered.versions[model]
            return state.versions.get(model, 0)

    def is_healthy(self, target: replica.Replica) -> bool:
        """Return whether the circuit breaker lets a target have requests."""
        return self.state(target).breaker.allows_requests()

    def cost(self, target: replica.Replica) -> float:
        """Return the cost of a target; the lowest is the best choice.

        The sum of its load per slot, its distance, the time for a new
        connection, its slowness and a small random amount.
        """
        distance = 0.0
        if target.datacentre != self.own_place.datacentre:
            region = self.own_place.regions.get(target.datacentre)
            is_near = region == self.own_place.regions.get(
                self.own_place.datacentre
            )
            distance = (
                OTHER_DATACENTRE_COST_RATIO
                if is_near
                else OTHER_REGION_COST_RATIO
            )
        load = self.load(target) / max(target.slots, 1)
        if not self.has_connection(target.address):
            distance += NEW_CONNECTION_COST_RATIO
        slowness = SLOWNESS_COST_RATIO * (self.relative_interval(target) - 1)
        return (
            load
            + distance
            + min(max(slowness, 0.0), MAX_SLOWNESS_COST_RATIO)
            + self.event_interval_s(target)
            + self.rng.random() * TIE_BREAK_COST_RATIO
        )

    def relative_interval(self, target: replica.Replica) -> float:
        """Return how slowly a target makes events, 1 for the usual speed.

        Compared are the targets of its service of which the speed is known.
        """
        own_s = self.event_interval_s(target)
        usual_s = self.usual_interval_s(target.service) if own_s else 0.0
        return own_s / usual_s if usual_s else 1.0

    def usual_interval_s(self, service: str) -> float:
        """Return the median interval of a service's events; 0 if unknown."""
        now = self.clock.monotonic()
        computed_at, median_s = self.usual_intervals.get(service, (-1e9, 0.0))
        if now - computed_at > USUAL_INTERVAL_PERIOD_S:
            known = [
                interval_s
                for target in self.serving(service)
                if (interval_s := self.event_interval_s(target))
            ]
            median_s = statistics.median_low(known) if known else 0.0
            self.usual_intervals[service] = (now, median_s)
        return median_s

    def event_interval_s(self, target: replica.Replica) -> float:
        """Return the recent seconds between events; 0 if unknown."""
        state = self.state(target)
        age_s = self.clock.monotonic() - state.event_at
        return state.event_interval_s if age_s < EVENT_INTERVAL_TTL_S else 0.0

    def begin_request(self, target: replica.Replica) -> None:
        """Count a request that this daemon sends to a target."""
        with self.lock:
            self.state(target).running += 1
            self.state(target).breaker.record_probe()

    def end_request(self, target: replica.Replica) -> None:
        """Count the end of a request at a target."""
        with self.lock:
            self.state(target).running -= 1

    def record_load(
        self, target: replica.Replica, running: int | None, waiting: int | None
    ) -> None:
        """Record the load that a target reported, if it reported any."""
        if running is None:
            return
        state = self.state(target)
        state.reported_running = running
        state.reported_waiting = waiting or 0
        state.reported_at = self.clock.monotonic()

    def record_rejection(self, target: replica.Replica) -> None:
        """Stop using a target for a short time after it refused a request.

        A target that has free slots is loading weights, which takes longer.
        """
        backoff_s = (
            FULL_BACKOFF_S
            if self.load(target) >= target.slots
            else LOADING_BACKOFF_S
        )
        self.state(target).full_until = self.clock.monotonic() + backoff_s

    def record_version(
        self, target: replica.Replica, model: str, version: int
    ) -> None:
        """Record the weight version that a response or an order names."""
        if not model:
            return
        before = self.version(target, model)
        if version < before:
            LOG.warning(
                'A target went back to older weights',
                extra={
                    'target': target.id,
                    'model': model,
                    'version': version,
                    'before': before,
                },
            )
        with self.lock:
            state = self.state(target)
            state.versions[model] = version
            state.versions_at[model] = self.clock.monotonic()

    def record_loading(self, target_id: str, left_s: float) -> None:
        """Record for how many seconds more a target loads weights."""
        target = self.replicas.get(target_id)
        if target is not None:
            state = self.state(target)
            state.loading_until = self.clock.monotonic() + left_s

    def loading_s(self) -> dict[str, float]:
        """Return the targets that load weights, and for how long more."""
        now = self.clock.monotonic()
        with self.lock:
            return {
                target.id: state.loading_until - now
                for target in self.replicas.values()
                if (state := self.states.get(target.start_key))
                and state.loading_until > now
            }

    def record_event_interval(
        self, target: replica.Replica, interval_s: float
    ) -> None:
        """Add the time between two stream events to the moving average."""
        mean_s = self.event_interval_s(target) or interval_s
        state = self.state(target)
        state.event_at = self.clock.monotonic()
        state.event_interval_s = mean_s + EVENT_INTERVAL_WEIGHT_RATIO * (
            interval_s - mean_s
        )

    def with_versions(self, target: replica.Replica) -> replica.Replica:
        """Return a copy of a target with its newest known versions."""
        models = target.versions.keys() | self.state(target).versions.keys()
        versions = {model: self.version(target, model) for model in models}
        return attrs.evolve(target, versions=versions)
