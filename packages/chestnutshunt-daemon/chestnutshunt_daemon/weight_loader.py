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
from chestnutshunt_daemon import node

__all__ = ['WeightLoader']

LOG = logging.getLogger(__name__)

ORDER_PATH = '/orders'
ORDER_TIMEOUT = 10.0
RETRY_DELAY = 0.5
MAX_PARALLEL = 32


@attrs.define(eq=False)
class WeightLoader:
    """Keeps the engines of one service at the newest version.

    Each order carries the fencing number of the run's lease and is checked
    against the lease right before it is sent.

    Attributes
    ----------
    state : Node
        The daemon.
    service : str
        Engine service.
    duty_lease : Lease
        Lease of the run.
    loaded_versions : dict of str to int
        Version that each engine was last seen to run.
    """

    state: node.Node
    service: str
    duty_lease: lease.Lease
    loaded_versions: dict[str, int] = attrs.field(factory=dict)
    wanted_version: int = 0
    wakeup: threading.Event = attrs.field(factory=threading.Event)
    pool: urllib3.PoolManager = attrs.field(
        factory=lambda: urllib3.PoolManager(
            retries=False, maxsize=MAX_PARALLEL
        )
    )

    def request_version(self, version: int) -> None:
        """Have a newer version loaded."""
        if version > self.wanted_version:
            self.wanted_version = version
            self.wakeup.set()

    def outdated_engines(self) -> list[target.Target]:
        """Return the running engines not seen to run it."""
        return [
            item
            for item in self.state.targets(self.service)
            if item.state == 'running'
            and self.loaded_versions.get(item.name, 0) < self.wanted_version
        ]

    def engines_older_than(self, version: int) -> frozenset[str]:
        """Return the engines known to run a version older than this."""
        return frozenset(
            name
            for name, held in self.loaded_versions.items()
            if held < version
        )

    def record_version(self, engine: str, version: int) -> None:
        """Note the version that an engine names in an answer."""
        self.loaded_versions[engine] = version

    def run(self, stopped: threading.Event) -> None:
        """Order until stopped."""
        with futures.ThreadPoolExecutor(MAX_PARALLEL, 'weights') as workers:
            while not stopped.is_set():
                self.wakeup.clear()
                late = self.outdated_engines()
                list(workers.map(self.send_load_order, late))
                pause = RETRY_DELAY if self.outdated_engines() else 1.0
                self.wakeup.wait(pause)

    def send_load_order(self, chosen: target.Target) -> None:
        """Order one engine to load the wanted version."""
        version = self.wanted_version
        try:
            fence = self.duty_lease.require()
            answer = self.pool.request(
                'POST',
                f'http://{chosen.address}{ORDER_PATH}',
                body=json.dumps({'version': version, 'fence': fence}),
                timeout=ORDER_TIMEOUT,
            )
            if answer.status == 200:
                self.loaded_versions[chosen.name] = version
                return
            LOG.warning('%s did not load: %s', chosen.name, answer.status)
            self.loaded_versions.setdefault(chosen.name, 0)
        except errors.NotHolder as exc:
            LOG.info('Order withheld: %s', exc)
        except urllib3.exceptions.HTTPError as exc:
            LOG.warning('%s: %s', chosen.name, type(exc).__name__)
