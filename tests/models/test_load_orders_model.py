"""Model of weight load orders with faults and takeovers.

An order may get no answer and be carried out seconds later, after newer
orders. In every sequence of steps, no target goes back to an older version or
loads a version that it has, and in the end all targets have the newest one.
The exception is an order from before a restart of its target: the target
counts orders from zero again, so it may accept that order and go back to an
older version, and then has to be brought up to the newest again.
"""

import itertools

import pytest
from returns import result

from chestnutshunt.deployment import deployment
from chestnutshunt.deployment import service
from chestnutshunt import errors
from chestnutshunt import manual_clock
from chestnutshunt.replicas import replica
from chestnutshunt.store import stored_object
from chestnutshunt.weights import target_report
from chestnutshunt.weights import weight_loader
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.fleet import weights_duty
from chestnutshunt_platform import main
from tests import fleet_parts
from tests.models import histories

LOAD_S = 0.9
SHORT_WAIT_S = 0.3
LONG_WAIT_S = 1.2

STEPS = (
    'new_version',
    'run_duty',
    'lose_reply',
    'delay_order',
    'apply_delayed',
    'short_wait',
    'long_wait',
    'takeover',
    'restart',
)


class Target:
    """A target that carries out load orders.

    Attributes
    ----------
    downgraded : bool
        True once an order has loaded an older version without a restart.
    lagging : TargetReport
        The report as of the last wait.
    registered : Replica
        The registration as of the last wait.
    """

    def __init__(self, number, clock):
        self.id = f't{number}'
        self.clock = clock
        self.version = 1
        self.accepted_count = 0
        self.busy_until = 0.0
        self.start_count = 1
        self.downgraded = False
        self.lagging = self.report()
        self.registered = self.replica()

    def report(self):
        return target_report.TargetReport(
            {'m': self.version},
            self.clock.monotonic() < self.busy_until,
            self.accepted_count,
        )

    def replica(self):
        return replica.Replica(
            self.id,
            's',
            '127.0.0.1:1',
            'a',
            versions={'m': self.version},
            started_ms=self.start_count,
        )

    def carry_out(self, order, start):
        """Carry out an order and return the answer to it."""
        if order.accepted_before != self.accepted_count:
            return result.Failure(
                errors.Conflict('Other orders were accepted.')
            )
        if self.clock.monotonic() < self.busy_until:
            return result.Failure(errors.Conflict('It is loading.'))
        if order.version == self.version:
            return result.Success(False)
        if order.version < self.version and start == self.start_count:
            self.downgraded = True
        self.version = order.version
        self.accepted_count += 1
        self.busy_until = self.clock.monotonic() + LOAD_S
        return result.Success(True)

    def restart(self):
        self.start_count += 1
        self.accepted_count = 0
        self.busy_until = 0.0


class Loader(weight_loader.WeightLoader):
    """Delivers orders to the targets, with the fault of the current step.

    Attributes
    ----------
    fault : str
        ``lose_reply``, ``delay_order`` or empty.
    delayed : list of tuple
        Target, order and the target's start count for each delayed order.
    """

    def __init__(self, targets):
        self.targets = {item.id: item for item in targets}
        self.fault = ''
        self.delayed = []

    def report(self, target):
        return result.Success(self.targets[target.id].lagging)

    def load(self, target, order):
        simulated = self.targets[target.id]
        if self.fault == 'delay_order':
            self.delayed.append((simulated, order, target.started_ms))
        elif self.fault == 'lose_reply':
            simulated.carry_out(order, target.started_ms)
        else:
            return simulated.carry_out(order, target.started_ms)
        return result.Failure(errors.PlatformUncertain('No answer.'))

    def apply_delayed(self):
        for target, order, start in self.delayed:
            target.carry_out(order, start)
        self.delayed.clear()


class LoadOrderModel:
    """Two daemons, of which at most one holds the duty, and three targets."""

    def __init__(self, wrap=lambda loader: loader):
        self.clock = manual_clock.ManualClock()
        self.targets = [Target(number, self.clock) for number in range(3)]
        self.loader = Loader(self.targets)
        self.holders = [histories.Holder(1), histories.Holder()]
        self.fences = itertools.count(2)
        self.version = 1
        self.duties = []
        for holder in self.holders:
            state = self.make_state()
            duty = weights_duty.WeightsDuty(state, holder, wrap(self.loader))
            self.duties.append(duty)
        self.publish_version()

    def make_state(self):
        config = fleet_settings.FleetSettings(
            name='d', role='front', datacentre='a'
        )
        state = fleet_state.FleetState(config, main.STORE_SCHEMA, self.clock)
        state.deployment = deployment.Deployment(
            1, (), {'s': service.Service('s', models=('m',))}
        )
        fleet_parts.register(state, *(x.registered for x in self.targets))
        return state

    def publish_version(self):
        """Let the trainer publish the next version."""
        self.version += 1
        value = {'model': 'm', 'version': self.version}
        stored = stored_object.StoredObject(
            'versions', 'm', self.version, value
        )
        for duty in self.duties:
            duty.state.mirrors['versions'].apply_listing(
                self.version, (stored,), self.clock.monotonic()
            )

    def run_duties(self, fault=''):
        """Run the duty once at its holder, with a fault in its orders."""
        self.loader.fault = fault
        for duty, holder in zip(self.duties, self.holders, strict=True):
            if holder.number:
                duty.run_once()
            else:
                duty.reset()
        self.loader.fault = ''

    def pass_time(self, seconds):
        """Advance the clock; reports and registrations lag by one wait."""
        for duty in self.duties:
            registered = [item.registered for item in self.targets]
            fleet_parts.register(duty.state, *registered)
        for target in self.targets:
            target.lagging = target.report()
            target.registered = target.replica()
        self.clock.advance(seconds)

    def apply(self, step):
        """Carry out one step."""
        if step == 'new_version':
            self.publish_version()
        elif step in ('lose_reply', 'delay_order'):
            self.run_duties(step)
        elif step == 'apply_delayed':
            self.loader.apply_delayed()
        elif step in ('short_wait', 'long_wait'):
            self.pass_time(
                SHORT_WAIT_S if step == 'short_wait' else LONG_WAIT_S
            )
        elif step == 'takeover':
            self.holders.reverse()
            for holder, number in zip(
                self.holders, (next(self.fences), 0), strict=True
            ):
                holder.number = number
            self.duties = [
                next(d for d in self.duties if d.holder is holder)
                for holder in self.holders
            ]
        elif step == 'restart':
            self.targets[0].restart()
        else:
            self.run_duties()

    def converges(self):
        """Return True if all targets reach the newest version."""
        self.loader.apply_delayed()
        for _ in range(60):
            self.pass_time(SHORT_WAIT_S)
            self.run_duties()
        return all(item.version == self.version for item in self.targets)


def is_consistent(steps, wrap=lambda loader: loader):
    model = LoadOrderModel(wrap)
    for step in steps:
        model.apply(step)
    converged = model.converges()
    return converged and not any(item.downgraded for item in model.targets)


def test_all_histories_of_three_steps():
    for steps in itertools.product(STEPS, repeat=3):
        assert is_consistent(steps), steps


def test_long_random_histories():
    for steps in histories.random_histories(STEPS, 5, 400, 20):
        assert is_consistent(steps), steps


class UnnumberedLoader(weight_loader.WeightLoader):
    """Passes orders on without the number of accepted orders."""

    def __init__(self, inner):
        self.inner = inner

    def report(self, target):
        return self.inner.report(target)

    def load(self, target, order):
        return self.inner.load(target, UnnumberedOrder(order))


class UnnumberedOrder:
    """An order whose number matches whenever it arrives."""

    def __init__(self, order):
        self.version = order.version
        self.accepted_before = self

    def __ne__(self, other):
        return False

    __hash__ = None


def test_the_model_detects_orders_without_their_number():
    with pytest.raises(AssertionError):
        for steps in histories.random_histories(STEPS, 5, 400, 20):
            assert is_consistent(steps, UnnumberedLoader)
