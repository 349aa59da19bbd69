"""Makes and applies the heartbeats between daemons."""

import logging

from chestnutshunt.routing import rendezvous
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.peers import fleet_codec
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['apply_heartbeat', 'make_heartbeat']

LOG = logging.getLogger(__name__)

# Digests of crashing requests in one heartbeat, the newest ones; each takes
# some 50 bytes.
MAX_CRASH_COUNT = 200

# Least age of a response of which a peer tells.
MIN_AGE_S = 0.001

# Rate limits of targets in one heartbeat, those learned last; each takes some
# 50 bytes.
MAX_LIMIT_COUNT = 200

# Key of the loads that a leaf hears from its hubs: each of them reports those
# of the whole fleet.
FLEET_LOADS = ''


def make_heartbeat(
    state: fleet_state.FleetState,
    for_holder: bool,
    echo_s: float = 0.0,
    for_leaf: bool = False,
) -> fleet_pb2.State:
    """Return this daemon's heartbeat.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    for_holder : bool
        Whether the receiver holds the duties; only then, or if this daemon
        is a leaf, usage counts are included.
    echo_s : float, optional
        Monotonic time in seconds of the receiver in its last message; 0 if
        there was none.
    for_leaf : bool, optional
        Whether the receiver is a leaf, which knows only what its hubs pass
        on.
    """
    is_leaf = not state.is_hub
    heartbeat = fleet_pb2.State(
        name=state.config.name,
        incarnation=state.incarnation,
        datacentre=state.config.datacentre,
        address=state.config.peer_address,
        leaving=state.leaving.is_set(),
        holder=state.is_holder(),
        wall_s=state.clock.wall(),
        jobs=state.running_job_ids(),
        store_s=state.store_read_s,
        clock_s=state.clock.monotonic(),
        echo_s=echo_s,
        lease_version=state.lease_version(),
        leaf=is_leaf,
        primary_hub=primary_hub(state) if is_leaf else '',
    )
    for kind, mirror in state.mirrors.items():
        heartbeat.digests.append(
            fleet_codec.encode_digest(kind, mirror.digest())
        )
    for name, running in loads_for(state, for_leaf).items():
        heartbeat.loads.add(replica=name, running=running)
    for model, demand in state.own_demands().items():
        heartbeat.demands.append(fleet_codec.encode_demand(model, demand))
    for name, left_s in state.replicas.loading_s().items():
        heartbeat.loading.add(replica=name, left_s=left_s)
    add_crashes(state, heartbeat)
    for entry in state.rate_gate.limits.snapshot(MAX_LIMIT_COUNT):
        heartbeat.limits.append(fleet_codec.encode_limit(*entry))
    for peer in peers_for(state, for_leaf):
        heartbeat.peers.append(
            fleet_codec.encode_peer(peer, state.clock.monotonic())
        )
    if for_holder or is_leaf:
        add_tallies(state, heartbeat)
    if for_holder:
        heartbeat.leaves.extend(peer.name for peer in state.live_leaves())
    return heartbeat


def add_crashes(
    state: fleet_state.FleetState, heartbeat: fleet_pb2.State
) -> None:
    """Add the requests under which targets have crashed."""
    crashes = list(state.quarantine.snapshot().items())
    for digest, ages in crashes[-MAX_CRASH_COUNT:]:
        heartbeat.crashes.add(
            digest=digest, replicas=ages.keys(), ages_s=ages.values()
        )
    served = list(state.quarantine.served_ages().items())
    for digest, age_s in served[-MAX_CRASH_COUNT:]:
        heartbeat.served.add(digest=digest, age_s=age_s)


def primary_hub(state: fleet_state.FleetState) -> str:
    """Return the hub that adds this leaf's loads to its own."""
    hubs = state.topology.current.hubs
    return rendezvous.rank(state.config.name, hubs)[0] if hubs else ''


def loads_for(state: fleet_state.FleetState, for_leaf: bool) -> dict[str, int]:
    """Return the requests at each target that a receiver does not know of.

    For a hub these are the requests of this daemon and of its leaves, for a
    leaf those of the whole fleet.
    """
    if for_leaf:
        return state.replicas.fleet_loads()
    leaves = [peer.name for peer in list(state.peers.values()) if not peer.hub]
    return state.replicas.fleet_loads(leaves)


def peers_for(
    state: fleet_state.FleetState, for_leaf: bool
) -> list[peer_info.PeerInfo]:
    """Return the peers of which a receiver is to be told."""
    leaves = [peer for peer in state.live_leaves() if peer.jobs or peer.holder]
    if not for_leaf:
        return leaves
    others = [peer for peer in state.live_peers() if peer.hub or peer.relayed]
    return [*others, *leaves]


def add_tallies(
    state: fleet_state.FleetState, heartbeat: fleet_pb2.State
) -> None:
    """Add the usage counts of this daemon and of its leaves."""
    heartbeat.tallies.extend(
        fleet_codec.encode_tallies(state.counts.own_totals())
    )
    for peer in list(state.peers.values()):
        if not peer.hub and not peer.relayed:
            totals = state.counts.peer_totals(peer.source)
            heartbeat.tallies.extend(
                fleet_codec.encode_tallies(totals, peer.source)
            )


def apply_heartbeat(
    state: fleet_state.FleetState,
    message: fleet_pb2.State,
    sent_at: float,
    read_at: float,
) -> list[str]:
    """Update the state of this daemon from a peer's heartbeat.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    message : State
        The peer's heartbeat.
    sent_at : float
        Lower bound of the monotonic time in seconds at which the peer made
        the heartbeat.
    read_at : float
        Best estimate of that time.

    Returns
    -------
    list of str
        Kinds of which the peer has newer objects.
    """
    now = state.clock.monotonic()
    previous = state.peers.get(message.name)
    peer = peer_info.PeerInfo(
        name=message.name,
        incarnation=message.incarnation,
        datacentre=message.datacentre,
        address=message.address,
        leaving=message.leaving,
        holder=message.holder,
        jobs=frozenset(message.jobs),
        store_read_s=message.store_s,
        heard_at=now,
        hub=not message.leaf,
        demands={
            entry.model: fleet_codec.decode_demand(entry)
            for entry in message.demands
        },
    )
    state.peers[message.name] = peer
    state.topology.note_reached(message.name)
    if message.holder and message.lease_version:
        state.note_lease(message.lease_version)
    if previous is None or previous.incarnation != peer.incarnation:
        LOG.info(
            'Peer heard',
            extra={'peer': peer.name, 'incarnation': peer.incarnation},
        )
    state.time.record_peer(message.name, message.wall_s, read_at)
    apply_loads(state, message)
    for entry in message.loading:
        state.replicas.record_loading(entry.replica, entry.left_s)
    for entry in message.limits:
        state.rate_gate.limits.record(
            entry.target,
            fleet_codec.decode_rate(entry),
            sent_at - entry.age_s,
        )
    apply_peers(state, message, now)
    state.quarantine.merge_peer_report(
        {
            entry.digest: dict(zip(entry.replicas, entry.ages_s, strict=False))
            for entry in message.crashes
        }
    )
    for entry in message.served:
        state.quarantine.record_served(
            entry.digest, max(entry.age_s, MIN_AGE_S)
        )
    tallies = fleet_codec.decode_tallies(message.tallies, peer.source)
    for source, counts in tallies.items():
        state.counts.set_peer_totals(source, counts)
    if message.leaves:
        state.leaves_by_hub[peer.name] = (now, frozenset(message.leaves))
    return [
        entry.kind
        for entry in message.digests
        if entry.kind in state.mirrors
        and state.mirrors[entry.kind].apply_digest(
            fleet_codec.decode_digest(entry), sent_at
        )
    ]


def apply_loads(
    state: fleet_state.FleetState, message: fleet_pb2.State
) -> None:
    """Record the loads of a heartbeat, each request once.

    The loads of a leaf count at its primary hub only, which reports them to
    the others. What a hub reports to a leaf includes the leaf's own.
    """
    loads = {entry.replica: entry.running for entry in message.loads}
    if state.is_hub:
        counts_here = (
            not message.leaf or message.primary_hub == state.config.name
        )
        state.replicas.set_peer_loads(
            message.name, loads if counts_here else {}
        )
    elif not message.leaf:
        for name, running in state.replicas.own_loads().items():
            loads[name] = max(loads.get(name, 0) - running, 0)
        state.replicas.set_peer_loads(FLEET_LOADS, loads)


def apply_peers(
    state: fleet_state.FleetState, message: fleet_pb2.State, now: float
) -> None:
    """Record the peers of which a hub tells, unless heard more recently."""
    for entry in message.peers:
        peer = fleet_codec.decode_peer(entry, now)
        known = state.peers.get(peer.name)
        if peer.name != state.config.name and (
            known is None or known.heard_at < peer.heard_at
        ):
            state.peers[peer.name] = peer
