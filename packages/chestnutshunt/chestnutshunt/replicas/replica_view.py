"""Targets as this daemon knows them, and the choice among them."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import logging
import random
import threading

import attrs

from chestnutshunt import clock
from chestnutshunt.replicas import place
from chestnutshunt.replicas import replica
from chestnutshunt.replicas import replica_state
from chestnutshunt.routing import breaker
from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object

__all__ = ['ReplicaView']

LOG = logging.getLogger(__name__)

OUTAGE_S = 2.5
"""Seconds without any consistent read after which entries may have lapsed
while nobody could renew them; longer than a change of the reading daemon."""

LAPSE_GRACE_S = 2.2
"""Seconds in which a target that is alive has registered again after an
outage, about 2."""

TOLD_LOAD_S = 0.3
"""Seconds for which the load that a target told is believed."""

PEER_LOAD_S = 1.5
"""Seconds for which the load that a peer told is believed."""

OTHER_DATACENTRE = 0.1
OTHER_REGION = 0.4
"""Share of a target's slots that the way there is worth."""

FULL_S = 0.05
"""Seconds for which a target that refused a request is not asked again."""

LOADING_S = 0.2
"""Seconds for which a target that refused in spite of free slots is not asked
again; a load takes about 1."""

SMOOTHING = 0.2
"""Weight of a new event's interval in the mean."""

Decoder = Callable[[stored_object.StoredObject], replica.Replica | None]


class ReplicaView:
    """Thread-safe view of all targets.

    Parameters
    ----------
    mirror : KindMirror
        Registrations.
    decoder : callable
        Builds a target from a registration.
    own : Place
        Where this daemon is.
    source : Clock
        Clock of loads and health.
    chance : Random
        Breaks ties.
    """

    def __init__(
        self,
        mirror: kind_mirror.KindMirror,
        decoder: Decoder,
        own: place.Place,
        source: clock.Clock,
        chance: random.Random,
    ) -> None:
        self.mirror = mirror
        self.decoder = decoder
        self.own = own
        self.source = source
        self.chance = chance
        self.lock = threading.RLock()
        self.replicas: dict[str, replica.Replica] = {}
        self.states: dict[str, replica_state.ReplicaState] = {}
        self.lapsing: dict[str, tuple[float, replica.Replica]] = {}
        self.peer_loads: dict[str, tuple[float, dict[str, int]]] = {}
        mirror.listeners.append(self.refresh)

    def refresh(self) -> None:
        """Take over the registrations."""
        with self.lock:
            found = {}
            for held in self.mirror.values():
                made = None if held.deleted else self.decoder(held)
                if made is not None:
                    found[made.id] = made
            self.note_lapsed(found)
            for made in found.values():
                self.take_versions(made, self.replicas.get(made.id))
            self.replicas = found
            self.drop_states()

    def take_versions(
        self, made: replica.Replica, before: replica.Replica | None
    ) -> None:
        """Take over the weight versions that a target registers.

        A registration lags behind what answers and orders show, so an older
        version counts only if the target itself had registered a newer one:
        an order from before a restart has then taken it back.
        """
        versions = self.state(made).versions
        same_start = before is not None and before.start == made.start
        for model, version in made.versions.items():
            if same_start and version < before.versions.get(model, 0):
                LOG.warning(
                    'A target went back to older weights',
                    extra={
                        'target': made.id,
                        'model': model,
                        'version': version,
                        'before': before.versions[model],
                    },
                )
                versions[model] = version
            else:
                versions[model] = max(version, versions.get(model, 0))

    def note_lapsed(self, found: dict[str, replica.Replica]) -> None:
        """Keep targets for a while that are missing after an outage."""
        if self.mirror.confirmation_gap_s < OUTAGE_S:
            return
        now = self.source.monotonic()
        for name, held in self.replicas.items():
            if name not in found and not held.leaving:
                self.lapsing[name] = (now + LAPSE_GRACE_S, held)
                LOG.info(
                    'Target missing after an outage is kept for a while',
                    extra={
                        'target': name,
                        'outage_s': round(self.mirror.confirmation_gap_s, 3),
                    },
                )

    def drop_states(self) -> None:
        """Forget the states of targets that are gone."""
        kept = {item.start for item in self.replicas.values()}
        kept |= {item.start for _, item in self.lapsing.values()}
        for start in set(self.states) - kept:
            if not self.states[start].running:
                del self.states[start]

    def state(self, held: replica.Replica) -> replica_state.ReplicaState:
        """Return the state of a target."""
        with self.lock:
            if held.start not in self.states:
                self.states[held.start] = replica_state.ReplicaState(
                    breaker.Breaker(self.source, held.id)
                )
            return self.states[held.start]

    def all(self) -> list[replica.Replica]:
        """Return all targets that are not known to be gone."""
        now = self.source.monotonic()
        with self.lock:
            for name, (until, _) in list(self.lapsing.items()):
                if until < now or name in self.replicas:
                    del self.lapsing[name]
            kept = [held for _, held in self.lapsing.values()]
            return [*self.replicas.values(), *kept]

    def serving(self, service: str) -> list[replica.Replica]:
        """Return the targets of a service that take new requests."""
        return [
            held
            for held in self.all()
            if held.service == service and not held.leaving
        ]

    def load(self, held: replica.Replica) -> int:
        """Return how many requests the target is believed to have."""
        now = self.source.monotonic()
        state = self.state(held)
        peers = sum(
            loads.get(held.id, 0)
            for at, loads in list(self.peer_loads.values())
            if now - at < PEER_LOAD_S
        )
        known = state.running + peers
        if now - state.told_at < TOLD_LOAD_S:
            return max(known, state.told_running + state.told_waiting)
        return known

    def take_peer_loads(self, name: str, loads: dict[str, int]) -> None:
        """Take over how many requests a peer has at each target."""
        self.peer_loads[name] = (self.source.monotonic(), loads)

    def own_loads(self) -> dict[str, int]:
        """Return how many requests this daemon has at each target."""
        with self.lock:
            return {
                held.id: state.running
                for held in self.replicas.values()
                if (state := self.states.get(held.start)) and state.running
            }

    def choose(
        self, service: str, excluded: Collection[str] = ()
    ) -> replica.Replica | None:
        """Return the target for a request, ``None`` if there is none.

        Targets with failures are used only if there is no other.
        """
        held = [
            item for item in self.serving(service) if item.id not in excluded
        ]
        sound = [item for item in held if self.is_sound(item)]
        return min(sound or held, key=self.cost, default=None)

    def choose_engine(
        self,
        service: str,
        model: str,
        minimum: int,
        preferred: Iterable[str] = (),
        exact: int | None = None,
    ) -> replica.Replica | None:
        """Return a target with a free slot that may generate for a model.

        Parameters
        ----------
        service : str
            Service of the target.
        model : str
            Model; empty if any will do.
        minimum : int
            Oldest weight version that may generate.
        preferred : iterable of str
            Ids of targets that have read the prompt.
        exact : int, optional
            The only weight version that may generate.
        """
        now = self.source.monotonic()
        held = [
            item
            for item in self.serving(service)
            if self.is_sound(item)
            and self.state(item).full_until <= now
            and self.load(item) < item.slots
            and self.has_version(item, model, minimum, exact)
        ]
        liked = set(preferred)
        near = [item for item in held if item.id in liked]
        return min(near or held, key=self.cost, default=None)

    def has_version(
        self,
        held: replica.Replica,
        model: str,
        minimum: int,
        exact: int | None = None,
    ) -> bool:
        """Tell whether a target's weights may generate for a model."""
        if not model:
            return True
        version = self.state(held).versions.get(model, 0)
        return version == exact if exact is not None else version >= minimum

    def is_sound(self, held: replica.Replica) -> bool:
        """Tell whether a target has not just failed."""
        return self.state(held).breaker.allows()

    def cost(self, held: replica.Replica) -> float:
        """Return what makes a target less suitable."""
        distance = 0.0
        if held.datacentre != self.own.datacentre:
            region = self.own.regions.get(held.datacentre)
            is_near = region == self.own.regions.get(self.own.datacentre)
            distance = OTHER_DATACENTRE if is_near else OTHER_REGION
        load = self.load(held) / max(held.slots, 1)
        state = self.state(held)
        return load + distance + state.event_s + self.chance.random() * 0.02

    def begin(self, held: replica.Replica) -> None:
        """Note that this daemon sends a request to a target."""
        with self.lock:
            self.state(held).running += 1

    def end(self, held: replica.Replica) -> None:
        """Note that a request has ended there."""
        with self.lock:
            self.state(held).running -= 1

    def note_load(
        self, held: replica.Replica, running: int | None, waiting: int | None
    ) -> None:
        """Note the load that a target told."""
        if running is None:
            return
        state = self.state(held)
        state.told_running = running
        state.told_waiting = waiting or 0
        state.told_at = self.source.monotonic()

    def note_full(self, held: replica.Replica) -> None:
        """Note that a target refused a request.

        One that has free slots is loading weights, which takes longer.
        """
        pause = FULL_S if self.load(held) >= held.slots else LOADING_S
        self.state(held).full_until = self.source.monotonic() + pause

    def note_version(
        self, held: replica.Replica, model: str, version: int
    ) -> None:
        """Note the weight version that an answer names."""
        if model:
            self.state(held).versions[model] = version

    def note_event(self, held: replica.Replica, interval_s: float) -> None:
        """Note the time between two events of a stream."""
        state = self.state(held)
        before = state.event_s or interval_s
        state.event_s = before + SMOOTHING * (interval_s - before)

    def with_versions(self, held: replica.Replica) -> replica.Replica:
        """Return a target with the newest versions known of it."""
        versions = {**held.versions, **self.state(held).versions}
        return attrs.evolve(held, versions=versions)
