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
    state : Node
        This daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state
        self.follower = follower.Follower(state.store, state.mirror)
        self.listed_at = -LIST_PERIOD
        self.member_published = False

    def run(self) -> None:
        """Follow the platform until the daemon stops."""
        while not self.state.stopped.is_set():
            if not self.member_published and not self.state.draining.is_set():
                self.member_published = peer_mesh.publish_member(self.state)
            self.list_if_due()
            if self.state.directory.is_relay(RELAYS):
                if self.follower.watch_once(WATCH_TIMEOUT):
                    self.state.freshness.confirm()
                else:
                    self.state.stopped.wait(REVIEW_PERIOD)
            else:
                self.state.stopped.wait(REVIEW_PERIOD)

    def list_if_due(self) -> None:
        """List at the start and once in each period."""
        now = self.state.clock.monotonic()
        if now - self.listed_at < LIST_PERIOD:
            return
        if self.follower.list_once():
            self.listed_at = now
            self.state.freshness.confirm()
            self.refresh_ended_vms()
            listed = self.state.mirror.of_kind(target.TARGET_KIND)
            self.state.load_view.forget({item.name for item in listed})
        else:
            self.listed_at = now - LIST_PERIOD + REVIEW_PERIOD

    def refresh_ended_vms(self) -> None:
        """Take over which VMs are marked as gone."""
        match ended_vm.list_ended(self.state.store):
            case result.Success(names):
                self.state.ended_vms = names
            case result.Failure(error):
                LOG.warning('The list of VMs could not be read: %s', error)
