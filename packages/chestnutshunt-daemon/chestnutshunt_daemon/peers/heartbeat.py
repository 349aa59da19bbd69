"""What daemons tell each other in every heartbeat."""

import logging

from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.peers import fleet_codec
from chestnutshunt_daemon.peers import peer_info
from chestnutshunt_daemon.wire import fleet_pb2

__all__ = ['apply_heartbeat', 'make_heartbeat']

LOG = logging.getLogger(__name__)

MAX_CRASHES = 200
"""Newest digests of crashing requests in one heartbeat, some 50 bytes each."""


def make_heartbeat(
    state: fleet_state.FleetState, for_holder: bool, echo_s: float = 0.0
) -> fleet_pb2.State:
    """Return this daemon's heartbeat.

    Parameters
    ----------
    state : FleetState
        This daemon.
    for_holder : bool
        Whether the receiver holds the duties and so gets the usage counts.
    echo_s : float, optional
        The receiver's clock in its last message.
    """
    made = fleet_pb2.State(
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
        made.digests.append(fleet_codec.encode_digest(kind, mirror.digest()))
    for name, running in state.replicas.own_loads().items():
        made.loads.add(replica=name, running=running)
    crashes = list(state.quarantine.digest().items())
    for digest, names in crashes[-MAX_CRASHES:]:
        made.crashes.add(digest=digest, replicas=names)
    if for_holder:
        made.tallies.extend(fleet_codec.encode_tallies(state.counts.totals()))
    return made


def apply_heartbeat(
    state: fleet_state.FleetState,
    message: fleet_pb2.State,
    sent_at: float,
    read_at: float,
) -> list[str]:
    """Take over a peer's heartbeat.

    Parameters
    ----------
    state : FleetState
        This daemon.
    message : State
        The peer's heartbeat.
    sent_at : float
        Monotonic time in seconds before which it was not made.
    read_at : float
        Best estimate of when it was made.

    Returns
    -------
    list of str
        Kinds of which the peer has changes that are missing here.
    """
    now = state.clock.monotonic()
    before = state.peers.get(message.name)
    facts = peer_info.PeerInfo(
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
    state.peers[message.name] = facts
    if message.holder and message.lease_version:
        state.note_lease(message.lease_version)
    if before is None or before.incarnation != facts.incarnation:
        LOG.info(
            'Peer heard',
            extra={'peer': facts.name, 'incarnation': facts.incarnation},
        )
    state.time.note_peer(message.name, message.wall_s, read_at)
    state.replicas.take_peer_loads(
        message.name, {entry.replica: entry.running for entry in message.loads}
    )
    state.quarantine.peer_reported(
        {entry.digest: list(entry.replicas) for entry in message.crashes}
    )
    if message.tallies:
        counts = fleet_codec.decode_tallies(message.tallies)
        source = f'{message.name}/{message.incarnation}'
        state.counts.take_peer(source, counts)
    return [
        entry.kind
        for entry in message.digests
        if entry.kind in state.mirrors
        and state.mirrors[entry.kind].take_digest(
            fleet_codec.decode_digest(entry), sent_at
        )
    ]
