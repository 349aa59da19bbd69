"""Chooses the hubs of a fleet, through which all other daemons exchange state.

A hub is linked to every other hub. Any other daemon is a leaf and is linked to
the hubs of its data centre only, so the number of its links does not grow with
the fleet.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math

import attrs

from chestnutshunt.membership import fleet_member
from chestnutshunt.routing import rendezvous

__all__ = ['Topology', 'plan_topology']

# Up to this number of daemons every daemon is a hub.
FULL_MESH_COUNT = 12

# Hubs in each data centre, so that one can fail.
MIN_HUB_COUNT = 2

# Leaves that one hub serves on average; a larger data centre has more hubs.
LEAVES_PER_HUB_COUNT = 24

Members = Iterable[fleet_member.FleetMember]


@attrs.frozen
class Topology:
    """Links of one daemon.

    Attributes
    ----------
    is_hub : bool
        Whether this daemon is a hub.
    hubs : dict of str to FleetMember
        Hubs to which this daemon is linked, by name, without itself: all of
        them for a hub, those of its data centre for a leaf.
    unusable : dict of str to FleetMember
        Daemons that would be such hubs if they were usable.
    is_full_mesh : bool
        Whether every daemon is a hub.
    """

    is_hub: bool
    hubs: dict[str, fleet_member.FleetMember]
    unusable: dict[str, fleet_member.FleetMember]
    is_full_mesh: bool = False


def plan_topology(
    members: Members,
    own: fleet_member.FleetMember,
    is_usable: Callable[[str], bool],
) -> Topology:
    """Return the links of a daemon.

    Every daemon computes this for itself. Two daemons that reach different
    peers may disagree about the hubs; then a daemon may serve leaves without
    being a hub, or be a hub that no leaf calls, and state still spreads.

    Parameters
    ----------
    members : iterable of FleetMember
        Registered daemons; may lack the own one.
    own : FleetMember
        The daemon that plans.
    is_usable : callable
        Whether a daemon, given by name, can be reached and is not shutting
        down. Also asked about the own daemon.
    """
    by_name = {member.name: member for member in members}
    by_name[own.name] = own
    if len(by_name) <= FULL_MESH_COUNT:
        others = {k: v for k, v in by_name.items() if k != own.name}
        return Topology(True, others, {}, True)
    by_datacentre: dict[str, list[fleet_member.FleetMember]] = {}
    for member in by_name.values():
        by_datacentre.setdefault(member.datacentre, []).append(member)
    hubs, skipped = choose_hubs(by_datacentre[own.datacentre], is_usable)
    is_hub = own.name in {hub.name for hub in hubs}
    if is_hub:
        for datacentre, local in by_datacentre.items():
            if datacentre != own.datacentre:
                more_hubs, more_skipped = choose_hubs(local, is_usable)
                hubs += more_hubs
                skipped += more_skipped
    return Topology(
        is_hub,
        {hub.name: hub for hub in hubs if hub.name != own.name},
        {hub.name: hub for hub in skipped if hub.name != own.name},
    )


def choose_hubs(
    members: list[fleet_member.FleetMember],
    is_usable: Callable[[str], bool],
) -> tuple[list[fleet_member.FleetMember], list[fleet_member.FleetMember]]:
    """Return the hubs of a data centre and the unusable daemons before them.

    The daemons of the largest VMs come first; those of equal VMs are ordered
    by a rendezvous hash.
    """
    count = max(MIN_HUB_COUNT, math.ceil(len(members) / LEAVES_PER_HUB_COUNT))
    ranked = sorted(
        members,
        key=lambda member: (
            member.capacity,
            rendezvous.score(member.datacentre, member.name),
        ),
        reverse=True,
    )
    hubs: list[fleet_member.FleetMember] = []
    skipped: list[fleet_member.FleetMember] = []
    for member in ranked:
        if len(hubs) == count:
            break
        (hubs if is_usable(member.name) else skipped).append(member)
    return hubs, skipped
