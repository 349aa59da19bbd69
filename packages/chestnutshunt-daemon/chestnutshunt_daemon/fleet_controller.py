"""Starts and stops the targets of one data centre while a lease is held."""

import logging

import attrs
import urllib3

from chestnutshunt.config import datacentre_settings
from chestnutshunt.fleet import order
from chestnutshunt.fleet import plan
from chestnutshunt.lease import lease
from chestnutshunt.routing import target
from chestnutshunt import steps
from chestnutshunt_daemon import node
from chestnutshunt_daemon import periodic_duty

__all__ = ['FleetController']

LOG = logging.getLogger(__name__)

PERIOD = 0.5
"""Seconds between plans."""

LEAVE_NOTICE = 5.0
"""Seconds in which every daemon hears that a target is leaving."""

ORDER_FLIGHT = 3.0
"""Seconds after which an order sent by a predecessor has arrived."""

LOAD_TIMEOUT = 1.0


@attrs.define(eq=False)
class Leaving:
    """A target that is to be stopped once it is idle."""

    since: float


class FleetController(periodic_duty.PeriodicDuty):
    """Plans and orders for one data centre.

    Each order carries the fencing number of the lease and is checked against
    the lease right before it is sent. For targets that ignore the number a
    new controller first waits until orders of its predecessor have arrived.

    Parameters
    ----------
    held : Node
        The daemon.
    charge : Lease
        Lease of the data centre's targets.
    """

    def __init__(self, held: node.Node, charge: lease.Lease) -> None:
        super().__init__(held, charge, PERIOD)
        self.leaving: dict[str, Leaving] = {}
        self.roomy_since: dict[str, float] = {}
        self.began = held.clock.monotonic()

    def work(self) -> None:
        """Plan every service of the data centre and stop what is idle."""
        own = self.held.own.datacentre
        path = f'datacentres/{own}'
        tree = self.held.current_tree()
        if path not in tree.nodes:
            return
        settings = tree.settings(path)
        for service in tree.leaf_names('services'):
            listed = [
                item
                for item in self.held.targets(service)
                if item.datacentre == own
            ]
            if listed:
                self.review_service(service, listed, settings)

    def review_service(
        self,
        service: str,
        listed: list[target.Target],
        settings: datacentre_settings.DatacentreSettings,
    ) -> None:
        """Order what the plan of a service asks for."""
        limits = self.held.current_tree().settings(f'services/{service}')
        made = plan.make_plan(
            listed,
            self.demand(service, listed),
            limits.target_concurrency,
            settings,
        )
        by_name = {item.name: item for item in listed}
        for wanted in self.due(service, made, settings):
            self.send(wanted, by_name[wanted.target])
        for item in listed:
            if item.state == 'leaving' and self.is_drained(item):
                self.send(order.Order(item.name, 'stop', 'idle'), item)

    def demand(self, service: str, listed: list[target.Target]) -> float:
        """Return the requests in flight and waiting for a service."""
        in_flight = sum(self.held.loads.in_flight(x.name) for x in listed)
        return in_flight + self.held.waiting(service)

    def due(
        self,
        service: str,
        made: plan.Plan,
        settings: datacentre_settings.DatacentreSettings,
    ) -> tuple[order.Order, ...]:
        """Return a plan's orders, those to let go only after a while."""
        lets_go = any(item.action == 'leave' for item in made.orders)
        now = self.held.clock.monotonic()
        if not lets_go:
            self.roomy_since.pop(service, None)
            return made.orders
        since = self.roomy_since.setdefault(service, now)
        if now - since < settings.scale_down_after_s:
            return ()
        del self.roomy_since[service]
        return made.orders

    def is_drained(self, leaving: target.Target) -> bool:
        """Tell whether a leaving target can be stopped without harm.

        It has left for long enough, no daemon counts a request to it, every
        listed daemon of the data centre is heard, and it says it is idle.
        """
        now = self.held.clock.monotonic()
        since = self.leaving.setdefault(leaving.name, Leaving(now)).since
        if now - since < LEAVE_NOTICE:
            return False
        if self.held.loads.in_flight(leaving.name):
            return False
        if self.silent_daemons():
            return False
        return self.says_idle(leaving)

    def silent_daemons(self) -> list[str]:
        """Return daemons of this data centre that are unheard.

        Of other data centres only some daemons are linked to this one. The
        rest hear of a leaving target by the tree's relays.
        """
        return [
            item.peer.name
            for item in self.held.directory.known()
            if item.peer.datacentre == self.held.own.datacentre
            and not self.held.directory.is_live(item)
            and not self.held.has_ended(item.peer.owner)
        ]

    def says_idle(self, leaving: target.Target) -> bool:
        """Ask a target whether it has no request in flight."""
        try:
            answer = urllib3.request(
                'GET',
                f'http://{leaving.address}/load',
                timeout=LOAD_TIMEOUT,
                retries=False,
            )
            return answer.json().get('in_flight') == 0
        except (urllib3.exceptions.HTTPError, ValueError):
            return False

    def send(self, wanted: order.Order, chosen: target.Target) -> None:
        """Send an order if the lease is held at this moment."""
        now = self.held.clock.monotonic()
        if not chosen.fenced and now - self.began < ORDER_FLIGHT:
            return
        steps.reach('fleet.before_order')
        fence = self.charge.require()
        scope = f'fleet/{self.held.own.datacentre}'
        sent = order.place(self.held.store, wanted, scope, fence)
        steps.reach('fleet.after_order')
        LOG.info('%s %s: %s', wanted.action, wanted.target, wanted.reason)
        if wanted.action == 'stop':
            self.leaving.pop(wanted.target, None)
        if sent.value_or(self) is self:
            raise sent.failure()
