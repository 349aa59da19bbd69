"""Keeps the daemon's mirror of the platform up to date."""

import logging

from returns import result

from chestnutshunt.membership import ended_vm
from chestnutshunt.mirror import follower
from chestnutshunt.routing import target
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_mesh

__all__ = ['Relay']

LOG = logging.getLogger(__name__)

# Daemons of a data centre that watch the platform; the others pull changes
# from them.
RELAY_COUNT = 2
# Bounds how long a watch whose connection went silent goes unnoticed.
WATCH_TIMEOUT_S = 2.0
# Each daemon lists all objects this often to correct its mirror.
LIST_PERIOD_S = 60.0
RETRY_PERIOD_S = 1.0


class Relay:
    """Lists the platform's objects, and watches them on a relay daemon.

    It also publishes the daemon's membership entry.

    Parameters
    ----------
    state : Node
        State of the daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state
        self.follower = follower.Follower(state.store, state.mirror)
        self.listed_at = -LIST_PERIOD_S
        self.member_published = False

    def run(self) -> None:
        """List, and watch if this daemon is a relay, until it stops."""
        while not self.state.stopped.is_set():
            if not self.member_published and not self.state.draining.is_set():
                self.member_published = peer_mesh.publish_member(self.state)
            self.list_if_due()
            if self.state.directory.is_relay(RELAY_COUNT):
                if self.follower.watch_once(WATCH_TIMEOUT_S):
                    self.state.freshness.confirm()
                else:
                    self.state.stopped.wait(RETRY_PERIOD_S)
            else:
                self.state.stopped.wait(RETRY_PERIOD_S)

    def list_if_due(self) -> None:
        """List all objects at the start and once in each period.

        A list that failed is retried after `RETRY_PERIOD_S`.
        """
        now = self.state.clock.monotonic()
        if now - self.listed_at < LIST_PERIOD_S:
            return
        if self.follower.list_once():
            self.listed_at = now
            self.state.freshness.confirm()
            self.refresh_ended_vms()
            listed = self.state.mirror.objects_of_kind(target.TARGET_KIND)
            self.state.load_view.retain_targets({item.name for item in listed})
        else:
            self.listed_at = now - LIST_PERIOD_S + RETRY_PERIOD_S

    def refresh_ended_vms(self) -> None:
        """Read from the platform which VMs are marked as gone."""
        match ended_vm.list_ended(self.state.store):
            case result.Success(names):
                self.state.ended_vms = names
            case result.Failure(error):
                LOG.warning('Reading the list of ended VMs failed: %s', error)
