"""Keeps the mirror up to date from the platform."""

import logging

from returns import result

from chestnutshunt.membership import ended_vm
from chestnutshunt.mirror import follower
from chestnutshunt.routing import target
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_mesh

__all__ = ['Relay']

LOG = logging.getLogger(__name__)

RELAYS = 2
"""Daemons of a data centre that watch; the others hear from them."""

WATCH_TIMEOUT = 2.0
"""Seconds a watch lasts; a silent one is noticed soon after."""

LIST_PERIOD = 60.0
"""Seconds between the lists by which each daemon checks its mirror."""

REVIEW_PERIOD = 1.0


class Relay:
    """One thread that watches, if its daemon is a relay, and lists.

    Parameters
    ----------
    held : Node
        This daemon.
    """

    def __init__(self, held: node.Node) -> None:
        self.held = held
        self.follower = follower.Follower(held.store, held.mirror)
        self.listed_at = -LIST_PERIOD
        self.published = False

    def run(self) -> None:
        """Follow the platform until the daemon stops."""
        while not self.held.stopped.is_set():
            if not self.published and not self.held.draining.is_set():
                self.published = peer_mesh.publish_member(self.held)
            self.list_if_due()
            if self.held.directory.is_relay(RELAYS):
                if self.follower.watch_once(WATCH_TIMEOUT):
                    self.held.freshness.confirm()
                else:
                    self.held.stopped.wait(REVIEW_PERIOD)
            else:
                self.held.stopped.wait(REVIEW_PERIOD)

    def list_if_due(self) -> None:
        """List at the start and once in each period."""
        now = self.held.clock.monotonic()
        if now - self.listed_at < LIST_PERIOD:
            return
        if self.follower.list_once():
            self.listed_at = now
            self.held.freshness.confirm()
            self.read_vms()
            listed = self.held.mirror.objects_of_kind(target.TARGET_KIND)
            self.held.loads.forget({item.name for item in listed})
        else:
            self.listed_at = now - LIST_PERIOD + REVIEW_PERIOD

    def read_vms(self) -> None:
        """Take over which VMs are marked as gone."""
        match ended_vm.list_ended(self.held.store):
            case result.Success(names):
                self.held.ended_vms = names
            case result.Failure(error):
                LOG.warning('The list of VMs could not be read: %s', error)
