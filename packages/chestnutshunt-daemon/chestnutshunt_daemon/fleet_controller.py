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
    state : Node
        The daemon.
    duty_lease : Lease
        Lease of the data centre's targets.
    """

    def __init__(self, state: node.Node, duty_lease: lease.Lease) -> None:
        super().__init__(state, duty_lease, PERIOD)
        self.leaving_targets: dict[str, Leaving] = {}
        self.surplus_since: dict[str, float] = {}
        self.started_at = state.clock.monotonic()

    def run_once(self) -> None:
        """Plan every service of the data centre and stop what is idle."""
        own = self.state.own.datacentre
        path = f'datacentres/{own}'
        tree = self.state.current_tree()
        if path not in tree.nodes:
            return
        settings = tree.settings(path)
        for service in tree.names('services'):
            listed = [
                item
                for item in self.state.targets(service)
                if item.datacentre == own
            ]
            if listed:
                self.plan_service(service, listed, settings)

    def plan_service(
        self,
        service: str,
        listed: list[target.Target],
        settings: datacentre_settings.DatacentreSettings,
    ) -> None:
        """Order what the plan of a service asks for."""
        limits = self.state.current_tree().settings(f'services/{service}')
        made = plan.make_plan(
            listed,
            self.demand(service, listed),
            limits.target_concurrency,
            settings,
        )
        by_name = {item.name: item for item in listed}
        for wanted in self.due_orders(service, made, settings):
            self.send_order(wanted, by_name[wanted.target])
        for item in listed:
            if item.state == 'leaving' and self.is_drained(item):
                self.send_order(order.Order(item.name, 'stop', 'idle'), item)

    def demand(self, service: str, listed: list[target.Target]) -> float:
        """Return the requests in flight and waiting for a service."""
        in_flight = sum(self.state.load_view.in_flight(x.name) for x in listed)
        return in_flight + self.state.waiting(service)

    def due_orders(
        self,
        service: str,
        made: plan.Plan,
        settings: datacentre_settings.DatacentreSettings,
    ) -> tuple[order.Order, ...]:
        """Return a plan's orders, those to let go only after a while."""
        lets_go = any(item.action == 'leave' for item in made.orders)
        now = self.state.clock.monotonic()
        if not lets_go:
            self.surplus_since.pop(service, None)
            return made.orders
        since = self.surplus_since.setdefault(service, now)
        if now - since < settings.scale_down_after_s:
            return ()
        del self.surplus_since[service]
        return made.orders

    def is_drained(self, leaving: target.Target) -> bool:
        """Tell whether a leaving target can be stopped without harm.

        It has left for long enough, no daemon counts a request to it, every
        listed daemon of the data centre is heard, and it says it is idle.
        """
        now = self.state.clock.monotonic()
        since = self.leaving_targets.setdefault(
            leaving.name, Leaving(now)
        ).since
        if now - since < LEAVE_NOTICE:
            return False
        if self.state.load_view.in_flight(leaving.name):
            return False
        if self.silent_daemons():
            return False
        return self.reports_idle(leaving)

    def silent_daemons(self) -> list[str]:
        """Return daemons of this data centre that are unheard.

        Of other data centres only some daemons are linked to this one. The
        rest hear of a leaving target by the tree's relays.
        """
        return [
            item.peer.name
            for item in self.state.directory.known()
            if item.peer.datacentre == self.state.own.datacentre
            and not self.state.directory.is_live(item)
            and not self.state.has_ended(item.peer.owner)
        ]

    def reports_idle(self, leaving: target.Target) -> bool:
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

    def send_order(self, wanted: order.Order, chosen: target.Target) -> None:
        """Send an order if the lease is held at this moment."""
        now = self.state.clock.monotonic()
        if not chosen.fenced and now - self.started_at < ORDER_FLIGHT:
            return
        steps.reach('fleet.before_order')
        fence = self.duty_lease.require()
        scope = f'fleet/{self.state.own.datacentre}'
        sent = order.place(self.state.store, wanted, scope, fence)
        steps.reach('fleet.after_order')
        LOG.info('%s %s: %s', wanted.action, wanted.target, wanted.reason)
        if wanted.action == 'stop':
            self.leaving_targets.pop(wanted.target, None)
        if sent.value_or(self) is self:
            raise sent.failure()
