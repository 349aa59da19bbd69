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
    held : Node
        The daemon.
    """

    def __init__(self, held: node.Node) -> None:
        self.held = held
        self.book = tally_book.TallyBook(held.own.owner)
        self.changed: set[tally_key.TallyKey] = set()
        self.lock = threading.Lock()
        self.copying = threading.Lock()
        self.copies = 0

    def window(self) -> int:
        """Return the number of the current window."""
        length = report_settings_of(self.held).window_s
        return int(self.held.clock.wall() // length)

    def record(self, workspace: str, used: count.Count) -> None:
        """Count usage before the end of its answer is passed on."""
        key = self.book.add(self.window(), workspace, used)
        with self.lock:
            self.changed.add(key)
        with self.copying:
            with self.lock:
                batch, self.changed = self.changed, set()
            if batch:
                self.copy(batch)

    def copy(self, keys: set[tally_key.TallyKey]) -> None:
        """Send tallies to the first peer that takes them."""
        message = peer_codec.encode_tallies(self.book.select(keys))
        peers = {
            item.name: item
            for item in self.held.directory.live()
            if item.name != self.held.own.name
        }
        near = [
            name
            for name, item in peers.items()
            if item.datacentre == self.held.own.datacentre
        ]
        order = rendezvous.rank(self.held.own.name, near or peers)
        for name in order[:MAX_TRIES]:
            try:
                stub = self.held.peers.stub(peers[name].address)
                stub.KeepTallies(message, timeout=COPY_TIMEOUT)
                self.copies += 1
                return
            except grpc.RpcError as exc:
                LOG.info('No copy at %s: %s', name, exc.code())


def report_settings_of(held: node.Node) -> report_settings.ReportSettings:
    """Return the settings of the usage reports in force."""
    return held.current_tree().resolve(
        REPORT_PATH, report_settings.ReportSettings
    )
