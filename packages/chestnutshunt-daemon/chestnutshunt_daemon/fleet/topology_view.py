"""View that a daemon has of the registered daemons and of its links."""

import logging
import threading

from chestnutshunt import clock
from chestnutshunt.membership import fleet_member
from chestnutshunt.membership import topology
from chestnutshunt.store import kind_mirror

__all__ = ['TopologyView']

LOG = logging.getLogger(__name__)


class TopologyView:
    """Registered daemons, which of them cannot be reached, and the links.

    Until the registrations have been read the daemon counts as a hub, as one
    that is alone.

    Parameters
    ----------
    own : FleetMember
        This daemon.
    mirror : KindMirror
        Mirror of the registrations.
    clock : Clock
        Clock for the times of changes and of peers' calls.

    Attributes
    ----------
    members : dict of str to FleetMember
        Registered daemons by name.
    unreachable : set of str
        Names of daemons that did not reply to the last heartbeat.
    changed_at : float
        Monotonic time in seconds of the last change of `members`.
    called_at : dict of str to float
        Monotonic time in seconds of the last heartbeat that each daemon sent
        by itself.
    current : Topology
        Links of this daemon.
    """

    def __init__(
        self,
        own: fleet_member.FleetMember,
        mirror: kind_mirror.KindMirror,
        clock: clock.Clock,
    ) -> None:
        self.own = own
        self.mirror = mirror
        self.clock = clock
        self.lock = threading.Lock()
        self.members: dict[str, fleet_member.FleetMember] = {}
        self.unreachable: set[str] = set()
        self.changed_at = clock.monotonic()
        self.called_at: dict[str, float] = {}
        self.change_count = 0
        self.planned_for: tuple = ()
        self.current = topology.Topology(True, {}, {}, True)
        mirror.listeners.append(self.read_members)

    def read_members(self) -> None:
        """Read the registrations; malformed ones are logged and ignored.

        Several threads may call this at once, each after another change.
        """
        with self.lock:
            self.read_members_locked()

    def read_members_locked(self) -> None:
        """Read the registrations; needs the lock."""
        members = {}
        for stored in self.mirror.values():
            try:
                member = fleet_member.FleetMember.decode(stored)
            except (KeyError, TypeError, ValueError) as exc:
                LOG.warning(
                    'Malformed registration of a daemon ignored',
                    extra={'peer': stored.name, 'error': repr(exc)},
                )
                continue
            members[member.name] = member
        self.members = members
        self.change_count += 1
        self.changed_at = self.clock.monotonic()

    def refresh(self, leaving: frozenset[str]) -> topology.Topology:
        """Plan the links again if anything that decides them has changed.

        Parameters
        ----------
        leaving : frozenset of str
            Names of the daemons that are shutting down.
        """
        unusable = leaving | self.unreachable
        inputs = (self.change_count, unusable)
        if inputs == self.planned_for:
            return self.current
        self.planned_for = inputs
        members = self.members
        before = self.current
        self.current = topology.plan_topology(
            members.values(), self.own, lambda name: name not in unusable
        )
        if (
            before.is_hub != self.current.is_hub
            or before.hubs.keys() != self.current.hubs.keys()
        ):
            LOG.info(
                'Links planned',
                extra={
                    'hub': self.current.is_hub,
                    'hubs': sorted(self.current.hubs),
                    'unusable': sorted(self.current.unusable),
                    'registered': len(members),
                },
            )
        return self.current

    def note_reached(self, name: str) -> None:
        """Record that a daemon was heard from."""
        if name in self.unreachable:
            self.unreachable = self.unreachable - {name}

    def note_unreachable(self, name: str) -> None:
        """Record that a daemon did not reply."""
        if name and name not in self.unreachable:
            self.unreachable = self.unreachable | {name}
