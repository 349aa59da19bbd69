"""Counts usage and copies each count to a peer."""

import logging
import threading

import grpc

from chestnutshunt.config import report_settings
from chestnutshunt.routing import rendezvous
from chestnutshunt.usage import count
from chestnutshunt.usage import tally_book
from chestnutshunt.usage import tally_key
from chestnutshunt_daemon import node
from chestnutshunt_daemon import peer_codec

__all__ = ['REPORT_PATH', 'UsageCounter', 'report_settings_of']

LOG = logging.getLogger(__name__)

REPORT_PATH = 'reports/usage'
# The end of an answer waits at most this long for the copy of its count.
COPY_TIMEOUT_S = 0.3
MAX_PEER_ATTEMPT_COUNT = 2


class UsageCounter:
    """Counts the requests that targets completed.

    `record` may be called from any thread. Counts recorded while a copy is
    being sent are sent together with the next copy.

    Parameters
    ----------
    state : Node
        State of the daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state
        self.book = tally_book.TallyBook(state.own.owner)
        self.changed_keys: set[tally_key.TallyKey] = set()
        self.lock = threading.Lock()
        self.copy_lock = threading.Lock()
        self.copy_count = 0

    def current_window(self) -> int:
        """Return the number of the current window of wall-clock time."""
        window_s = report_settings_of(self.state).window_s
        return int(self.state.clock.wall() // window_s)

    def record(self, workspace: str, used: count.Count) -> None:
        """Count usage and copy it, before the end of its answer is sent."""
        key = self.book.add(self.current_window(), workspace, used)
        with self.lock:
            self.changed_keys.add(key)
        with self.copy_lock:
            with self.lock:
                keys, self.changed_keys = self.changed_keys, set()
            if keys:
                self.copy_to_peer(keys)

    def copy_to_peer(self, keys: set[tally_key.TallyKey]) -> None:
        """Send tallies to a peer, by preference in this data centre.

        Peers are tried in rendezvous order. If none takes the tallies, they
        exist only here until the reporter collects them.
        """
        message = peer_codec.encode_tallies(self.book.select(keys))
        peers = {
            item.name: item
            for item in self.state.directory.live_members()
            if item.name != self.state.own.name
        }
        local_names = [
            name
            for name, item in peers.items()
            if item.datacentre == self.state.own.datacentre
        ]
        order = rendezvous.rank(self.state.own.name, local_names or peers)
        for name in order[:MAX_PEER_ATTEMPT_COUNT]:
            try:
                stub = self.state.peer_clients.stub(peers[name].address)
                stub.KeepTallies(message, timeout=COPY_TIMEOUT_S)
                self.copy_count += 1
                return
            except grpc.RpcError as exc:
                LOG.info(
                    'Copying usage tallies to %s failed: %s', name, exc.code()
                )


def report_settings_of(state: node.Node) -> report_settings.ReportSettings:
    """Return the current settings of usage reports."""
    return state.current_tree().resolve(
        REPORT_PATH, report_settings.ReportSettings
    )
