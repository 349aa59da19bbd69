"""Brings targets to the versions that trainers name."""

import logging

from returns import result

from chestnutshunt import errors
from chestnutshunt.replicas import replica
from chestnutshunt.weights import load_order
from chestnutshunt.weights import load_plan
from chestnutshunt.weights import weight_loader
from chestnutshunt_daemon.fleet import duty_holder
from chestnutshunt_daemon.fleet import fleet_duty
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.fleet import load_order_state

__all__ = ['WeightsDuty']

LOG = logging.getLogger(__name__)

LOOK_S = 0.1
"""Seconds between two looks at what is to be loaded."""

LOAD_S = 1.15
"""Seconds after which a load that was accepted is taken to be done; a
target takes 0.9 beside one other."""

AGAIN_S = 1.0
"""Seconds before a target that failed is ordered again."""


class WeightsDuty(fleet_duty.FleetDuty):
    """Orders loads while this daemon holds the duties.

    Parameters
    ----------
    state : FleetState
        The daemon.
    holder : DutyHolder
        Tells whether it may act.
    loader : WeightLoader
        Gives orders to targets.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        holder: duty_holder.DutyHolder,
        loader: weight_loader.WeightLoader,
    ) -> None:
        super().__init__(state, holder, LOOK_S)
        self.loader = loader
        self.orders: dict[str, load_order_state.LoadOrderState] = {}

    def reset(self) -> None:
        """Drop what was ordered: another holder may have ordered since."""
        self.orders.clear()

    def newest(self) -> dict[str, int]:
        """Return the newest version that was named for each model."""
        mirror = self.state.mirrors[self.state.schema.version_kind]
        found: dict[str, int] = {}
        for held in mirror.values():
            try:
                model, version = self.state.schema.decode_version(held)
            except (KeyError, TypeError) as exc:
                LOG.warning('A version cannot be read: %r', exc)
                continue
            found[model] = max(version, found.get(model, 0))
        return found

    def run_once(self) -> None:
        """Begin the loads that are due."""
        current = self.state.deployment
        newest = self.newest()
        if current is None or not newest:
            return
        self.finish_loads()
        now = self.state.clock.monotonic()
        for service in current.services.values():
            named = {m: newest[m] for m in service.models if m in newest}
            if not named:
                continue
            targets = [
                self.state.replicas.with_versions(held)
                for held in self.state.replicas.serving(service.name)
            ]
            loading = frozenset(
                held.id
                for held in targets
                if (o := self.orders.get(held.start)) and o.loaded_at > now
            )
            for load in load_plan.next_loads(targets, named, loading):
                self.order(load)

    def finish_loads(self) -> None:
        """Take loads to be done whose time is over."""
        now = self.state.clock.monotonic()
        known = {held.start: held for held in self.state.replicas.all()}
        for start, ordered in list(self.orders.items()):
            if start not in known:
                del self.orders[start]
            elif ordered.loaded_at and ordered.loaded_at <= now:
                ordered.loaded_at = 0.0
                self.state.replicas.note_version(
                    known[start], ordered.model, ordered.version
                )

    def order(self, load: load_plan.Load) -> None:
        """Order one load."""
        target = load.target
        ordered = self.orders.setdefault(
            target.start, load_order_state.LoadOrderState()
        )
        now = self.state.clock.monotonic()
        if ordered.retry_at > now:
            return
        if ordered.accepted_orders < 0 and not self.read_report(
            target, ordered
        ):
            ordered.retry_at = now + AGAIN_S
            return
        known = self.state.replicas.state(target).versions
        if known.get(load.model, 0) >= load.version:
            return
        fence = self.holder.fence()
        if not fence:
            return
        made = load_order.LoadOrder(
            model=load.model,
            version=load.version,
            finish_running=self.needs_one_version(),
            holder=self.state.config.name,
            fence=fence,
            accepted_before=ordered.accepted_orders,
        )
        outcome = self.loader.load(target, made)
        self.note(load, ordered, made, outcome)

    def needs_one_version(self) -> bool:
        """Tell whether results have to come from a single version."""
        current = self.state.deployment
        return any(item.single_version for item in current.routes)

    def note(
        self,
        load: load_plan.Load,
        ordered: load_order_state.LoadOrderState,
        made: load_order.LoadOrder,
        outcome: result.Result[bool, errors.ChestnutshuntError],
    ) -> None:
        """Note what became of an order."""
        now = self.state.clock.monotonic()
        ordered.model = load.model
        ordered.version = load.version
        match outcome:
            case result.Success(True):
                ordered.accepted_orders += 1
                ordered.loaded_at = now + LOAD_S
                text = 'accepted'
            case result.Success(False):
                self.state.replicas.note_version(
                    load.target, load.model, load.version
                )
                text = 'held already'
            case result.Failure(exc):
                # The report tells later what has become of it.
                ordered.accepted_orders = -1
                ordered.retry_at = now + AGAIN_S
                text = exc.message
        self.state.metrics.loads.labels(text.split()[0]).inc()
        LOG.info(
            'Weights ordered',
            extra={
                'target': load.target.id,
                'model': load.model,
                'version': load.version,
                'fence': made.fence,
                'after_orders': made.accepted_before,
                'outcome': text,
            },
        )

    def read_report(
        self, target: replica.Replica, ordered: load_order_state.LoadOrderState
    ) -> bool:
        """Read what a target says of itself; return True if it is free."""
        match self.loader.report(target):
            case result.Success(found):
                for model, version in found.versions.items():
                    self.state.replicas.note_version(target, model, version)
                if found.loading:
                    return False
                ordered.accepted_orders = found.accepted_orders
                return True
            case result.Failure(exc):
                LOG.info(
                    'A target does not report',
                    extra={'target': target.id, 'error': exc.message},
                )
                return False
