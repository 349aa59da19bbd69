"""The shared state of a daemon, built once and passed to its parts."""

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

# Lower bound of the heartbeat period, for each known peer.
HEARTBEAT_PERIOD_PER_PEER_S = 0.1
# Time for which a finished response is kept for resent requests.
FINISHED_RESPONSE_TTL_S = 60.0


class Node:
    """The shared state of one daemon.

    Parameters
    ----------
    config : DaemonSettings
        The daemon's own settings.
    platform : Platform
        Clients of the platform's store and of its duty endpoint.
    own : Member
        Membership entry of this incarnation of the daemon.
    clock : Clock, optional
        Clock of all parts; by default that of the system.
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
            self.clock, FINISHED_RESPONSE_TTL_S
        )
        self.quarantine = quarantine.Quarantine(self.clock)
        self.ledger = ledger.Ledger(platform.store, self.clock)
        self.connections = connection_pool.ConnectionPool(self.clock)
        self.peer_clients = peer_clients.PeerClients()
        self.metrics = metrics.Metrics()
        self.batch_store = make_batch_store(config)
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
        """Return the settings tree in force."""
        return self.config_view.tree

    def targets(self, service: str) -> tuple[target.Target, ...]:
        """Return the targets of a service, as the mirror lists them."""
        return self.cached_targets(service, self.mirror.revision)

    def decode_targets(
        self, service: str, revision: int
    ) -> tuple[target.Target, ...]:
        """Decode the targets of a service.

        The revision of the mirror is not read; it is part of the cache key.
        """
        stored = self.mirror.objects_of_kind(target.TARGET_KIND)
        decoded = [target.Target.decode(item) for item in stored]
        return tuple(item for item in decoded if item.service == service)

    def place(self) -> chooser.Place:
        """Return this daemon's data centre and the regions of all."""
        return self.cached_place(self.current_tree())

    def make_place(self, settings_tree: tree.Tree) -> chooser.Place:
        """Read the region of each data centre from a settings tree."""
        regions = {
            name: settings_tree.settings(f'datacentres/{name}').region
            for name in settings_tree.leaf_names('datacentres')
        }
        return chooser.Place(self.own.datacentre, regions)

    def queue(self, service: str, slots: int) -> fair_queue.FairQueue:
        """Return the fair queue of a service, resized to `slots`."""
        with self.lock:
            queue = self.queues.get(service)
            if queue is None:
                queue = fair_queue.FairQueue(self.clock, slots)
                self.queues[service] = queue
        if queue.slots != slots:
            queue.resize(slots)
        return queue

    def queue_snapshot(self) -> dict[str, int]:
        """Return the count of requests waiting here, by service, if any."""
        with self.lock:
            queues = list(self.queues.items())
        counts = {
            name: sum(queue.waiting_counts.values()) for name, queue in queues
        }
        return {name: count for name, count in counts.items() if count}

    def waiting(self, service: str) -> int:
        """Return the count of requests waiting for a service anywhere."""
        local_count = self.queue_snapshot().get(service, 0)
        return local_count + self.queue_view.waiting_at_peers(service)

    def budget(self, workspace: str, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a workspace at a service."""
        key = (workspace, service)
        with self.lock:
            if key not in self.budgets:
                self.budgets[key] = retry_budget.RetryBudget()
            return self.budgets[key]

    def heartbeat_period_s(self) -> float:
        """Return the seconds between heartbeats to one peer.

        The period grows with the number of peers, so that a daemon's
        heartbeats cost no more in a large data centre than in a small one.
        """
        peer_count = len(self.directory.peer_statuses)
        return max(
            self.config.heartbeat_s, peer_count * HEARTBEAT_PERIOD_PER_PEER_S
        )

    def ended_owners(self, owners: set[str]) -> set[str]:
        """Return the owners that are known to have ended.

        A later incarnation under the same name proves it, or the mark of an
        ended VM in the platform's list of VMs. Silence alone does not.
        """
        return {
            owner
            for owner in owners
            if owner != self.own.owner and self.has_ended(owner)
        }

    def has_ended(self, owner: str) -> bool:
        """Return whether an incarnation of a daemon is known to have ended."""
        name, _, incarnation = owner.partition('/')
        stored = self.mirror.get(member.MEMBER_KIND, name)
        if stored is not None:
            if stored.value.get('incarnation') != incarnation:
                return True
        return name in self.ended_vms

    @contextlib.contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request in flight, which a shutdown waits for."""
        with self.idle_condition:
            self.in_flight += 1
        try:
            yield
        finally:
            with self.idle_condition:
                self.in_flight -= 1
                self.idle_condition.notify_all()


def make_batch_store(
    config: settings.DaemonSettings,
) -> batch_store.BatchStore:
    """Return a store of step bytes, in the data folder or in memory."""
    if config.data_folder:
        return folder_store.FolderStore(config.data_folder)
    return memory_store.MemoryStore()
