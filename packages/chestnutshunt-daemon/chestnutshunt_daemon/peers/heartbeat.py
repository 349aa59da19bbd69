"""Makes and applies the heartbeats between daemons."""

import logging

from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.peers import fleet_codec
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['apply_heartbeat', 'make_heartbeat']

LOG = logging.getLogger(__name__)

# Digests of crashing requests in one heartbeat, the newest ones; each takes
# some 50 bytes.
MAX_CRASH_COUNT = 200


def make_heartbeat(
    state: fleet_state.FleetState, for_holder: bool, echo_s: float = 0.0
) -> fleet_pb2.State:
    """Return this daemon's heartbeat.

    Parameters
    ----------
    state : FleetState
        Shared state of this daemon.
    for_holder : bool
        Whether the receiver holds the duties; only then usage counts are
        included.
    echo_s : float, optional
        Monotonic time in seconds of the receiver in its last message; 0 if
        there was none.
    """
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
    )
    for kind, mirror in state.mirrors.items():
        heartbeat.digests.append(
            fleet_codec.encode_digest(kind, mirror.digest())
        )
    for name, running in state.replicas.own_loads().items():
        heartbeat.loads.add(replica=name, running=running)
    crashes = list(state.quarantine.snapshot().items())
    for digest, names in crashes[-MAX_CRASH_COUNT:]:
        heartbeat.crashes.add(digest=digest, replicas=names)
    if for_holder:
        heartbeat.tallies.extend(
            fleet_codec.encode_tallies(state.counts.own_totals())
        )
    return heartbeat


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
    )
    state.peers[message.name] = peer
    if message.holder and message.lease_version:
        state.note_lease(message.lease_version)
    if previous is None or previous.incarnation != peer.incarnation:
        LOG.info(
            'Peer heard',
            extra={'peer': peer.name, 'incarnation': peer.incarnation},
        )
    state.time.record_peer(message.name, message.wall_s, read_at)
    state.replicas.set_peer_loads(
        message.name, {entry.replica: entry.running for entry in message.loads}
    )
    state.quarantine.merge_peer_report(
        {entry.digest: list(entry.replicas) for entry in message.crashes}
    )
    if message.tallies:
        counts = fleet_codec.decode_tallies(message.tallies)
        source = f'{message.name}/{message.incarnation}'
        state.counts.set_peer_totals(source, counts)
    return [
        entry.kind
        for entry in message.digests
        if entry.kind in state.mirrors
        and state.mirrors[entry.kind].apply_digest(
            fleet_codec.decode_digest(entry), sent_at
        )
    ]
