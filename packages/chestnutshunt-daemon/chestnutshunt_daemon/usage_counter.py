"""Counts usage and keeps a copy of each count at a peer."""

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
COPY_TIMEOUT = 0.3
"""Seconds that the end of an answer may wait for the copy of its count."""

MAX_TRIES = 2


class UsageCounter:
    """Counts requests that targets reported as done.

    Counts that arrive while a copy is under way share the next one.

    Parameters
    ----------
    state : Node
        The daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state
        self.book = tally_book.TallyBook(state.own.owner)
        self.changed_keys: set[tally_key.TallyKey] = set()
        self.lock = threading.Lock()
        self.copy_lock = threading.Lock()
        self.copy_count = 0

    def current_window(self) -> int:
        """Return the number of the current window."""
        length = report_settings_of(self.state).window_s
        return int(self.state.clock.wall() // length)

    def record(self, workspace: str, used: count.Count) -> None:
        """Count usage before the end of its answer is passed on."""
        key = self.book.add(self.current_window(), workspace, used)
        with self.lock:
            self.changed_keys.add(key)
        with self.copy_lock:
            with self.lock:
                batch, self.changed_keys = self.changed_keys, set()
            if batch:
                self.copy_to_peer(batch)

    def copy_to_peer(self, keys: set[tally_key.TallyKey]) -> None:
        """Send tallies to the first peer that takes them."""
        message = peer_codec.encode_tallies(self.book.of(keys))
        peers = {
            item.name: item
            for item in self.state.directory.live()
            if item.name != self.state.own.name
        }
        near = [
            name
            for name, item in peers.items()
            if item.datacentre == self.state.own.datacentre
        ]
        order = rendezvous.rank(self.state.own.name, near or peers)
        for name in order[:MAX_TRIES]:
            try:
                stub = self.state.peer_clients.stub(peers[name].address)
                stub.KeepTallies(message, timeout=COPY_TIMEOUT)
                self.copy_count += 1
                return
            except grpc.RpcError as exc:
                LOG.info('No copy at %s: %s', name, exc.code())


def report_settings_of(state: node.Node) -> report_settings.ReportSettings:
    """Return the settings of the usage reports in force."""
    return state.current_tree().resolved(
        REPORT_PATH, report_settings.ReportSettings
    )
