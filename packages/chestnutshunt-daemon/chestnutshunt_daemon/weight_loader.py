"""Orders the engines of a run to load new weights."""

from concurrent import futures
import json
import logging
import threading

import attrs
import urllib3

from chestnutshunt import errors
from chestnutshunt.lease import lease
from chestnutshunt.routing import target
from chestnutshunt_daemon import bounded_connection
from chestnutshunt_daemon import node

__all__ = ['WeightLoader']

LOG = logging.getLogger(__name__)

ORDER_PATH = '/orders'
ORDER_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.5
CHECK_PERIOD_S = 1.0
MAX_PARALLEL_COUNT = 32


@attrs.define(eq=False)
class WeightLoader:
    """Keeps the engines of one service at the newest weight version.

    Each order carries the fencing number of the run's lease and is checked
    against the lease right before it is sent.

    Attributes
    ----------
    state : Node
        State of the daemon.
    service : str
        Engine service.
    duty_lease : Lease
        Lease of the run.
    loaded_versions : dict of str to int
        Weight version that each engine was last seen to run.
    wanted_version : int
        Newest weight version that was requested.
    wakeup : Event
        Set when a newer version is requested.
    """

    state: node.Node
    service: str
    duty_lease: lease.Lease
    loaded_versions: dict[str, int] = attrs.field(factory=dict)
    wanted_version: int = 0
    wakeup: threading.Event = attrs.field(factory=threading.Event)
    pool: urllib3.PoolManager = attrs.field(
        factory=lambda: bounded_connection.reply_manager(MAX_PARALLEL_COUNT)
    )

    def request_version(self, version: int) -> None:
        """Request a weight version, ignored unless it is the newest."""
        if version > self.wanted_version:
            self.wanted_version = version
            self.wakeup.set()

    def outdated_engines(self) -> list[target.Target]:
        """Return the running engines not seen at the wanted version."""
        return [
            item
            for item in self.state.targets(self.service)
            if item.state == 'running'
            and self.loaded_versions.get(item.name, 0) < self.wanted_version
        ]

    def engines_older_than(self, version: int) -> frozenset[str]:
        """Return the engines known to run an older version than this."""
        return frozenset(
            name
            for name, loaded in self.loaded_versions.items()
            if loaded < version
        )

    def record_version(self, engine: str, version: int) -> None:
        """Record the version that an engine names in an answer."""
        self.loaded_versions[engine] = version

    def run(self, stopped: threading.Event) -> None:
        """Send orders to outdated engines until stopped."""
        with futures.ThreadPoolExecutor(
            MAX_PARALLEL_COUNT, 'weights'
        ) as workers:
            while not stopped.is_set():
                self.wakeup.clear()
                outdated = self.outdated_engines()
                list(workers.map(self.send_load_order, outdated))
                pause_s = (
                    RETRY_DELAY_S
                    if self.outdated_engines()
                    else CHECK_PERIOD_S
                )
                self.wakeup.wait(pause_s)

    def send_load_order(self, engine: target.Target) -> None:
        """Order one engine to load the wanted version."""
        version = self.wanted_version
        try:
            fence = self.duty_lease.require_fence()
            response = self.pool.request(
                'POST',
                f'http://{engine.address}{ORDER_PATH}',
                body=json.dumps({'version': version, 'fence': fence}),
                timeout=ORDER_TIMEOUT_S,
            )
            if response.status == 200:
                self.loaded_versions[engine.name] = version
                return
            LOG.warning(
                'Engine %s did not load weight version %s: status %s',
                engine.name,
                version,
                response.status,
            )
            self.loaded_versions.setdefault(engine.name, 0)
        except errors.NotHolder as exc:
            LOG.info('Order to engine %s not sent: %s', engine.name, exc)
        except urllib3.exceptions.HTTPError as exc:
            LOG.warning(
                'Order to engine %s failed: %s',
                engine.name,
                type(exc).__name__,
            )
