"""Decides which targets of a service to start or to let go."""

from collections.abc import Sequence
import math

import attrs

from chestnutshunt.config import datacentre_settings
from chestnutshunt.fleet import order
from chestnutshunt.routing import target

__all__ = ['Plan', 'make_plan']

FULLEST = 0.7
"""Share of the targets' concurrency at which more are started."""

EMPTIEST = 0.4
"""Share below which one is let go."""

CHEAP_SHARE = 0.5
"""Largest share of the running targets that may be reclaimed at once."""


@attrs.frozen
class Plan:
    """What is wanted of a service in a data centre.

    Attributes
    ----------
    target_count : int
        Targets that should run.
    orders : tuple of Order
        Orders towards it.
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
        All targets of the service there, in any state.
    demand : float
        Requests in flight and waiting.
    concurrency : int
        Requests one target should have in flight.
    settings : DatacentreSettings
        Bounds of the number of targets.
    """
    active = [x for x in targets if x.state in ('running', 'starting')]
    needed = math.ceil(demand / (concurrency * FULLEST))
    wanted = min(max(needed, settings.min_targets), settings.max_targets)
    if wanted > len(active):
        stopped = [x for x in targets if x.state == 'stopped']
        return Plan(wanted, start_orders(active, stopped, wanted))
    spare = len(active) - 1
    roomy = spare and demand / (spare * concurrency) < EMPTIEST
    if len(active) > wanted and roomy:
        running = [x for x in active if x.state == 'running']
        return Plan(spare, leave_order(running))
    return Plan(len(active), ())


def start_orders(
    active: Sequence[target.Target],
    stopped: Sequence[target.Target],
    wanted: int,
) -> tuple[order.Order, ...]:
    """Return orders to start targets, cheap ones first within their share."""
    cheap_running = sum(x.cheap for x in active)
    cheap = [x for x in stopped if x.cheap]
    dear = [x for x in stopped if not x.cheap]
    orders = []
    for _ in range(wanted - len(active)):
        room = cheap_running + 1 <= CHEAP_SHARE * wanted
        source = cheap if cheap and (room or not dear) else dear
        if not source:
            break
        chosen = source.pop(0)
        cheap_running += chosen.cheap
        orders.append(order.Order(chosen.name, 'start', 'demand'))
    return tuple(orders)


def leave_order(
    running: Sequence[target.Target],
) -> tuple[order.Order, ...]:
    """Return the order to let one target go.

    A dear one goes first while the cheap ones keep within their share.
    """
    cheap = [x for x in running if x.cheap]
    dear = [x for x in running if not x.cheap]
    rest = len(running) - 1
    if dear and (len(cheap) <= CHEAP_SHARE * rest or not cheap):
        chosen = dear[-1]
    elif cheap:
        chosen = cheap[-1]
    else:
        return ()
    return (order.Order(chosen.name, 'leave', 'little demand'),)
