"""Everything a daemon holds, made once and handed to its parts."""

from collections.abc import Iterator
import contextlib
import functools
import random
import threading
from typing import Any

from chestnutshunt.admission import fair_queue
from chestnutshunt.admission import key_ring
from chestnutshunt.attempts import attempt_table
from chestnutshunt.attempts import quarantine
from chestnutshunt.attempts import retry_budget
from chestnutshunt import clock
from chestnutshunt.config import tree
from chestnutshunt.ledger import ledger
from chestnutshunt.membership import directory
from chestnutshunt.membership import member
from chestnutshunt.mirror import config_view
from chestnutshunt.mirror import mirror
from chestnutshunt.rollout import batch_store
from chestnutshunt.rollout import folder_store
from chestnutshunt.rollout import memory_store
from chestnutshunt.routing import chooser
from chestnutshunt.routing import load_view
from chestnutshunt.routing import queue_view
from chestnutshunt.routing import target
from chestnutshunt.store import adapter
from chestnutshunt import system_clock
from chestnutshunt_daemon import connection_pool
from chestnutshunt_daemon import freshness
from chestnutshunt_daemon import metrics
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon import settings

__all__ = ['Node']

PERIOD_FOR_EACH_PEER = 0.1
"""Seconds by which each peer lengthens the heartbeats' period."""

FINISHED_ANSWERS_S = 60.0
"""Seconds an answer is kept for resends."""


class Node:
    """The state of one daemon.

    Parameters
    ----------
    config : DaemonSettings
        The daemon's own settings.
    platform : Platform
        The platform.
    own : Member
        This start of the daemon.
    clock : Clock, optional
        Clock of all parts.
    """

    def __init__(
        self,
        config: settings.DaemonSettings,
        platform: adapter.Platform,
        own: member.Member,
        clock: clock.Clock | None = None,
    ) -> None:
        self.config = config
        self.store = platform.store
        self.duty_platform = platform.duties
        self.own = own
        self.clock = clock or system_clock.SystemClock()
        self.mirror = mirror.Mirror()
        self.config_view = config_view.ConfigView(self.mirror)
        self.key_ring = key_ring.KeyRing(self.current_tree)
        self.directory = directory.Directory(self.clock, own)
        self.load_view = load_view.LoadView(self.clock)
        self.queue_view = queue_view.QueueView(self.clock)
        self.chooser = chooser.Chooser(self.load_view, random.Random())
        self.attempts = attempt_table.AttemptTable(
            self.clock, FINISHED_ANSWERS_S
        )
        self.quarantine = quarantine.Quarantine(self.clock)
        self.ledger = ledger.Ledger(platform.store, self.clock)
        self.connections = connection_pool.ConnectionPool(self.clock)
        self.peer_clients = peer_clients.PeerClients()
        self.metrics = metrics.Metrics()
        self.batch_store = make_bulk_store(config)
        self.ended_vms: frozenset[str] = frozenset()
        self.freshness = freshness.Freshness(self.clock)
        self.usage: Any = None
        self.limits: Any = None
        self.coordinators: dict[str, Any] = {}
        self.last_coordinator: dict[str, str] = {}
        self.queues: dict[str, fair_queue.FairQueue] = {}
        self.budgets: dict[tuple[str, str], retry_budget.RetryBudget] = {}
        self.lock = threading.Lock()
        self.draining = threading.Event()
        self.stopped = threading.Event()
        self.in_flight = 0
        self.idle_condition = threading.Condition()
        self.cached_targets = functools.lru_cache(maxsize=64)(
            self.decode_targets
        )
        self.cached_place = functools.lru_cache(maxsize=2)(self.make_place)

    def current_tree(self) -> tree.Tree:
        """Return the tree of settings in force."""
        return self.config_view.tree

    def targets(self, service: str) -> tuple[target.Target, ...]:
        """Return the targets of a service, as last listed."""
        return self.cached_targets(service, self.mirror.revision)

    def decode_targets(
        self, service: str, revision: int
    ) -> tuple[target.Target, ...]:
        """Decode the targets of a service at a revision of the mirror."""
        held = self.mirror.of_kind(target.TARGET_KIND)
        decoded = [target.Target.decode(item) for item in held]
        return tuple(item for item in decoded if item.service == service)

    def place(self) -> chooser.Place:
        """Return where this daemon stands among the data centres."""
        return self.cached_place(self.current_tree())

    def make_place(self, settings_tree: tree.Tree) -> chooser.Place:
        """Work out regions from a tree."""
        regions = {
            name: settings_tree.settings(f'datacentres/{name}').region
            for name in settings_tree.names('datacentres')
        }
        return chooser.Place(self.own.datacentre, regions)

    def queue(self, service: str, slots: int) -> fair_queue.FairQueue:
        """Return the fair queue of a service, with its current size."""
        with self.lock:
            held = self.queues.get(service)
            if held is None:
                held = fair_queue.FairQueue(self.clock, slots)
                self.queues[service] = held
        if held.slots != slots:
            held.resize(slots)
        return held

    def queue_snapshot(self) -> dict[str, int]:
        """Return the waiting requests of this daemon, by service."""
        with self.lock:
            queues = list(self.queues.items())
        counts = {name: sum(q.waiting.values()) for name, q in queues}
        return {name: count for name, count in counts.items() if count}

    def waiting(self, service: str) -> int:
        """Return the requests that wait for a service at all daemons."""
        own = self.queue_snapshot().get(service, 0)
        return own + self.queue_view.waiting(service)

    def budget(self, workspace: str, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a workspace at a service."""
        key = (workspace, service)
        with self.lock:
            if key not in self.budgets:
                self.budgets[key] = retry_budget.RetryBudget()
            return self.budgets[key]

    def heartbeat_period_s(self) -> float:
        """Return the seconds between heartbeats to one peer.

        The period grows with the number of peers, so that the heartbeats of
        a large data centre cost no more than those of a small one.
        """
        peers = len(self.directory.sightings)
        return max(self.config.heartbeat_s, peers * PERIOD_FOR_EACH_PEER)

    def ended_owners(self, owners: set[str]) -> set[str]:
        """Return the owners that are known to have ended.

        A later start under the same name shows it, or the platform's list of
        VMs, in which an ended VM is marked. Silence alone does not.
        """
        return {
            owner
            for owner in owners
            if owner != self.own.owner and self.has_ended(owner)
        }

    def has_ended(self, owner: str) -> bool:
        """Tell whether a start of a daemon is known to have ended."""
        name, _, incarnation = owner.partition('/')
        listed = self.mirror.get(member.MEMBER_KIND, name)
        if listed is not None:
            if listed.value.get('incarnation') != incarnation:
                return True
        return name in self.ended_vms

    @contextlib.contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request that a shutdown has to wait for."""
        with self.idle_condition:
            self.in_flight += 1
        try:
            yield
        finally:
            with self.idle_condition:
                self.in_flight -= 1
                self.idle_condition.notify_all()


def make_bulk_store(
    config: settings.DaemonSettings,
) -> batch_store.BatchStore:
    """Return the store of bulk bytes that the settings ask for."""
    if config.data_folder:
        return folder_store.FolderStore(config.data_folder)
    return memory_store.MemoryStore()
