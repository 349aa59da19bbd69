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
from chestnutshunt_daemon import bounded_connection
from chestnutshunt_daemon import node
from chestnutshunt_daemon import periodic_duty

__all__ = ['FleetController']

LOG = logging.getLogger(__name__)

PLAN_PERIOD_S = 0.5
# By then every daemon has learned that a target is leaving.
LEAVE_NOTICE_S = 5.0
# By then an order sent by a predecessor has arrived.
ORDER_ARRIVAL_S = 3.0
LOAD_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class LeavingTarget:
    """A target that is to be stopped once it is idle.

    Attributes
    ----------
    seen_at : float
        Monotonic seconds at which it was first seen to be leaving.
    """

    seen_at: float


class FleetController(periodic_duty.PeriodicDuty):
    """Plans one data centre's targets and orders starts and stops.

    Each order carries the fencing number of the lease and is checked against
    the lease right before it is sent. For targets that ignore the number, a
    new controller first waits until orders of its predecessor have arrived.

    Parameters
    ----------
    state : Node
        State of the daemon.
    duty_lease : Lease
        Lease of the data centre's targets.
    """

    def __init__(self, state: node.Node, duty_lease: lease.Lease) -> None:
        super().__init__(state, duty_lease, PLAN_PERIOD_S)
        self.leaving_targets: dict[str, LeavingTarget] = {}
        self.surplus_since: dict[str, float] = {}
        self.started_at = state.clock.monotonic()
        self.pool = bounded_connection.reply_manager(1)

    def run_once(self) -> None:
        """Plan every service of the data centre and stop drained targets."""
        own_datacentre = self.state.own.datacentre
        path = f'datacentres/{own_datacentre}'
        tree = self.state.current_tree()
        if path not in tree.nodes:
            return
        settings = tree.settings(path)
        for service in tree.leaf_names('services'):
            listed = [
                item
                for item in self.state.targets(service)
                if item.datacentre == own_datacentre
            ]
            if listed:
                self.plan_service(service, listed, settings)

    def plan_service(
        self,
        service: str,
        listed: list[target.Target],
        settings: datacentre_settings.DatacentreSettings,
    ) -> None:
        """Send the due orders of a service, and stop its drained targets."""
        service_settings = self.state.current_tree().settings(
            f'services/{service}'
        )
        fleet_plan = plan.make_plan(
            listed,
            self.demand(service, listed),
            service_settings.target_concurrency,
            settings,
        )
        by_name = {item.name: item for item in listed}
        for due_order in self.due_orders(service, fleet_plan, settings):
            self.send_order(due_order, by_name[due_order.target])
        for item in listed:
            if item.state == 'leaving' and self.is_drained(item):
                self.send_order(order.Order(item.name, 'stop', 'idle'), item)

    def demand(self, service: str, listed: list[target.Target]) -> float:
        """Return the count of requests in flight and waiting."""
        in_flight = sum(self.state.load_view.in_flight(x.name) for x in listed)
        return in_flight + self.state.waiting(service)

    def due_orders(
        self,
        service: str,
        fleet_plan: plan.Plan,
        settings: datacentre_settings.DatacentreSettings,
    ) -> tuple[order.Order, ...]:
        """Return the orders of a plan that are due.

        A plan that lets targets leave is due only once such plans were made
        for ``scale_down_after_s`` without a break.
        """
        scales_down = any(item.action == 'leave' for item in fleet_plan.orders)
        now = self.state.clock.monotonic()
        if not scales_down:
            self.surplus_since.pop(service, None)
            return fleet_plan.orders
        since = self.surplus_since.setdefault(service, now)
        if now - since < settings.scale_down_after_s:
            return ()
        del self.surplus_since[service]
        return fleet_plan.orders

    def is_drained(self, leaving: target.Target) -> bool:
        """Return whether a leaving target can be stopped without harm.

        It was leaving for long enough, no daemon counts a request to it, all
        listed daemons of the data centre are live, and it reports to be idle.
        """
        now = self.state.clock.monotonic()
        seen_at = self.leaving_targets.setdefault(
            leaving.name, LeavingTarget(now)
        ).seen_at
        if now - seen_at < LEAVE_NOTICE_S:
            return False
        if self.state.load_view.in_flight(leaving.name):
            return False
        if self.silent_daemons():
            return False
        return self.reports_idle(leaving)

    def silent_daemons(self) -> list[str]:
        """Return the names of silent daemons of this data centre.

        Only some daemons of other data centres are linked to this one. The
        others learn of a leaving target from the relays of the mirror.
        """
        return [
            item.peer.name
            for item in self.state.directory.known_peers()
            if item.peer.datacentre == self.state.own.datacentre
            and not self.state.directory.is_live(item)
            and not self.state.has_ended(item.peer.owner)
        ]

    def reports_idle(self, leaving: target.Target) -> bool:
        """Return whether a target reports no request in flight."""
        try:
            response = self.pool.request(
                'GET',
                f'http://{leaving.address}/load',
                timeout=LOAD_TIMEOUT_S,
            )
            return response.json().get('in_flight') == 0
        except (urllib3.exceptions.HTTPError, ValueError):
            return False

    def send_order(
        self, new_order: order.Order, recipient: target.Target
    ) -> None:
        """Send an order if the lease is held at this moment.

        An order to a target that ignores fencing numbers is skipped while
        one of a predecessor may still arrive.

        Raises
        ------
        NotHolder
            The lease is no longer held.
        """
        now = self.state.clock.monotonic()
        if not recipient.fenced and now - self.started_at < ORDER_ARRIVAL_S:
            return
        steps.reach('fleet.before_order')
        fence = self.duty_lease.require_fence()
        scope = f'fleet/{self.state.own.datacentre}'
        placed = order.place(self.state.store, new_order, scope, fence)
        steps.reach('fleet.after_order')
        LOG.info(
            'Order %s for target %s: %s',
            new_order.action,
            new_order.target,
            new_order.reason,
        )
        if new_order.action == 'stop':
            self.leaving_targets.pop(new_order.target, None)
        if placed.value_or(self) is self:
            raise placed.failure()
