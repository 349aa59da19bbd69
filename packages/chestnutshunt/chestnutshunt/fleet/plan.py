"""Decides which targets of a service to start or to drain."""

from collections.abc import Sequence
import math

import attrs

from chestnutshunt.config import datacentre_settings
from chestnutshunt.fleet import order
from chestnutshunt.routing import target

__all__ = ['Plan', 'make_plan']

# Ratio of demand to total concurrency above which targets are started.
SCALE_UP_RATIO = 0.7

# A target is drained if the ratio would stay below this without it.
SCALE_DOWN_RATIO = 0.4

# Maximum share of reclaimable targets, all of which may go at once.
MAX_RECLAIMABLE_RATIO = 0.5


@attrs.frozen
class Plan:
    """Desired number of targets and the orders that lead to it.

    Attributes
    ----------
    target_count : int
        Number of targets that should run.
    orders : tuple of Order
        Orders to place now.
    """

    target_count: int
    orders: tuple[order.Order, ...]


def make_plan(
    targets: Sequence[target.Target],
    demand: float,
    concurrency: int,
    settings: datacentre_settings.DatacentreSettings,
) -> Plan:
    """Plan the targets of one service in one data centre.

    Parameters
    ----------
    targets : sequence of Target
        All targets of the service in the data centre, in any state.
    demand : float
        Number of requests in flight and waiting.
    concurrency : int
        Maximum requests in flight to one target.
    settings : DatacentreSettings
        Limits on the number of targets.
    """
    active = [x for x in targets if x.state in ('running', 'starting')]
    needed = math.ceil(demand / (concurrency * SCALE_UP_RATIO))
    desired = min(max(needed, settings.min_targets), settings.max_targets)
    if desired > len(active):
        stopped = [x for x in targets if x.state == 'stopped']
        return Plan(desired, start_orders(active, stopped, desired))
    fewer = len(active) - 1
    can_shrink = fewer and demand / (fewer * concurrency) < SCALE_DOWN_RATIO
    if len(active) > desired and can_shrink:
        running = [x for x in active if x.state == 'running']
        return Plan(fewer, leave_order(running))
    return Plan(len(active), ())


def start_orders(
    active: Sequence[target.Target],
    stopped: Sequence[target.Target],
    desired: int,
) -> tuple[order.Order, ...]:
    """Return orders to start targets.

    Reclaimable ones come first, up to their maximum share or if there are no
    others.
    """
    reclaimable_count = sum(x.cheap for x in active)
    reclaimable = [x for x in stopped if x.cheap]
    on_demand = [x for x in stopped if not x.cheap]
    orders = []
    for _ in range(desired - len(active)):
        is_allowed = reclaimable_count + 1 <= MAX_RECLAIMABLE_RATIO * desired
        source = (
            reclaimable
            if reclaimable and (is_allowed or not on_demand)
            else on_demand
        )
        if not source:
            break
        chosen = source.pop(0)
        reclaimable_count += chosen.cheap
        orders.append(order.Order(chosen.name, 'start', 'demand'))
    return tuple(orders)


def leave_order(
    running: Sequence[target.Target],
) -> tuple[order.Order, ...]:
    """Return the order to drain one target, if any is running.

    An on-demand target is drained first, as long as the reclaimable ones then
    stay within their maximum share.
    """
    reclaimable = [x for x in running if x.cheap]
    on_demand = [x for x in running if not x.cheap]
    fewer = len(running) - 1
    if on_demand and (
        len(reclaimable) <= MAX_RECLAIMABLE_RATIO * fewer or not reclaimable
    ):
        chosen = on_demand[-1]
    elif reclaimable:
        chosen = reclaimable[-1]
    else:
        return ()
    return (order.Order(chosen.name, 'leave', 'little demand'),)
