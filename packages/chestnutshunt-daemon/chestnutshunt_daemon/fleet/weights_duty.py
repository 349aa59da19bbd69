"""Orders targets to load the weight versions that trainers announce."""

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

# Time between two passes.
PERIOD_S = 0.1

# A load counts as complete this long after it was accepted; a target takes
# 0.9 s while one other target loads.
LOAD_S = 1.15

# Longest time for which a load waits until the items of the running step have
# been started: a target starts none while it loads.
MAX_POSTPONED_S = 2.0

# Delay before the next order to a target that failed.
RETRY_S = 1.0


class WeightsDuty(fleet_duty.FleetDuty):
    """Orders loads while this daemon holds the duties.

    Parameters
    ----------
    state : FleetState
        Shared state of the daemon.
    holder : DutyHolder
        Tells whether this daemon holds the duties.
    loader : WeightLoader
        Client that sends load orders to targets.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        holder: duty_holder.DutyHolder,
        loader: weight_loader.WeightLoader,
    ) -> None:
        super().__init__(state, holder, PERIOD_S)
        self.loader = loader
        self.orders: dict[str, load_order_state.LoadOrderState] = {}
        self.announced_at: dict[tuple[str, int], float] = {}

    def reset(self) -> None:
        """Forget sent orders: another holder may have sent more since."""
        self.orders.clear()

    def newest_versions(self) -> dict[str, int]:
        """Return the newest announced version of each model."""
        mirror = self.state.mirrors[self.state.schema.version_kind]
        newest: dict[str, int] = {}
        for stored in mirror.values():
            try:
                model, version = self.state.schema.decode_version(stored)
            except (KeyError, TypeError) as exc:
                LOG.warning('Malformed weight version ignored: %r', exc)
                continue
            newest[model] = max(version, newest.get(model, 0))
        return newest

    def run_once(self) -> None:
        """Start the loads that are due."""
        current = self.state.deployment
        newest = self.newest_versions()
        if current is None or not newest:
            return
        self.finish_loads()
        now = self.state.clock.monotonic()
        demands = self.state.demands()
        postponed = self.postponed_models(newest, demands)
        for service in current.services.values():
            announced = {m: newest[m] for m in service.models if m in newest}
            if not announced:
                continue
            targets = [
                self.state.replicas.with_versions(target)
                for target in self.state.replicas.serving(service.name)
            ]
            loading = frozenset(
                target.id
                for target in targets
                if (o := self.orders.get(target.start_key))
                and o.loaded_at > now
            )
            for load in load_plan.next_loads(
                targets, announced, loading, demands, postponed
            ):
                self.send_order(load)

    def postponed_models(
        self, newest: dict[str, int], demands: load_plan.Demands
    ) -> frozenset[str]:
        """Return the models with items that wait for a start.

        A step may use the version before the newest one, so a load can wait
        for up to `MAX_POSTPONED_S` after the version was announced, unless
        the items of a later step wait for that version.
        """
        now = self.state.clock.monotonic()
        for key in newest.items() - self.announced_at.keys():
            self.announced_at[key] = now
        self.announced_at = {
            key: at
            for key, at in self.announced_at.items()
            if key in newest.items()
        }
        return frozenset(
            model
            for (model, version), at in self.announced_at.items()
            if now - at < MAX_POSTPONED_S
            and (demand := demands.get(model, load_plan.NO_DEMAND)).waiting
            and demand.needed_version < version
        )

    def finish_loads(self) -> None:
        """Record loads as complete once their time has passed."""
        now = self.state.clock.monotonic()
        known = {
            target.start_key: target
            for target in self.state.replicas.list_all()
        }
        for start, progress in list(self.orders.items()):
            if start not in known:
                del self.orders[start]
            elif progress.loaded_at and progress.loaded_at <= now:
                progress.loaded_at = 0.0
                self.state.replicas.record_version(
                    known[start], progress.model, progress.version
                )

    def send_order(self, load: load_plan.WeightLoad) -> None:
        """Order one load, unless it has been done or may not be sent now."""
        target = load.target
        progress = self.orders.setdefault(
            target.start_key, load_order_state.LoadOrderState()
        )
        now = self.state.clock.monotonic()
        if progress.retry_at > now:
            return
        if progress.accepted_orders < 0 and not self.read_report(
            target, progress
        ):
            progress.retry_at = now + RETRY_S
            return
        if self.state.replicas.version(target, load.model) >= load.version:
            return
        fence = self.holder.fence()
        if not fence:
            return
        order = load_order.LoadOrder(
            model=load.model,
            version=load.version,
            finish_running=self.requires_single_version(),
            holder=self.state.config.name,
            fence=fence,
            accepted_before=progress.accepted_orders,
        )
        self.state.rate_gate.spend(target)
        outcome = self.loader.load(target, order)
        self.record_outcome(load, progress, order, outcome)

    def requires_single_version(self) -> bool:
        """Return whether a route requires results of a single version."""
        current = self.state.deployment
        return any(route.single_version for route in current.routes)

    def record_outcome(
        self,
        load: load_plan.WeightLoad,
        progress: load_order_state.LoadOrderState,
        order: load_order.LoadOrder,
        outcome: result.Result[bool, errors.ChestnutshuntError],
    ) -> None:
        """Record and log the outcome of an order."""
        now = self.state.clock.monotonic()
        progress.model = load.model
        progress.version = load.version
        match outcome:
            case result.Success(True):
                progress.accepted_orders += 1
                progress.loaded_at = now + LOAD_S
                self.state.replicas.record_loading(load.target.id, LOAD_S)
                self.state.wake_peers()
                text = 'accepted'
            case result.Success(False):
                self.state.replicas.record_version(
                    load.target, load.model, load.version
                )
                text = 'held already'
            case result.Failure(exc):
                # The target's next report tells whether it was accepted.
                progress.accepted_orders = -1
                progress.retry_at = now + RETRY_S
                text = exc.message
        self.state.metrics.loads.labels(text.split()[0]).inc()
        LOG.info(
            'Weights ordered',
            extra={
                'target': load.target.id,
                'model': load.model,
                'version': load.version,
                'fence': order.fence,
                'after_orders': order.accepted_before,
                'outcome': text,
            },
        )

    def read_report(
        self,
        target: replica.Replica,
        progress: load_order_state.LoadOrderState,
    ) -> bool:
        """Read a target's report; return whether the target can load."""
        self.state.rate_gate.spend(target)
        match self.loader.report(target):
            case result.Success(report):
                for model, version in report.versions.items():
                    self.state.replicas.record_version(target, model, version)
                if report.loading:
                    return False
                progress.accepted_orders = report.accepted_orders
                return True
            case result.Failure(exc):
                LOG.info(
                    'Target report could not be read',
                    extra={'target': target.id, 'error': exc.message},
                )
                return False
