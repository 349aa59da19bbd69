"""Orders of weights under lost answers, late effects, takeovers, restarts.

A target may leave an order unanswered and carry it out seconds later, after
newer ones. Whatever the order of steps, no target goes back to an older
version or loads one that it has, and in the end all hold the newest.
Only an order from before a restart can still take a target back, since it
counts its orders anew then; it has to be brought up again.
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

STEPS = (
    'name',
    'look',
    'lose',
    'delay',
    'effect',
    'moment',
    'second',
    'takeover',
    'restart',
)


class Target:
    """A target that carries out orders."""

    def __init__(self, number, clock):
        self.id = f't{number}'
        self.clock = clock
        self.version = 1
        self.accepted = 0
        self.busy_until = 0.0
        self.starts = 1
        self.harmed = False
        self.lagging = self.state()
        self.registered = self.replica()

    def state(self):
        return target_report.TargetReport(
            {'m': self.version},
            self.clock.monotonic() < self.busy_until,
            self.accepted,
        )

    def replica(self):
        return replica.Replica(
            self.id,
            's',
            '127.0.0.1:1',
            'a',
            versions={'m': self.version},
            started=self.starts,
        )

    def carry_out(self, order, start):
        """Return the answer to an order at the moment of its effect."""
        if order.accepted_before != self.accepted:
            return result.Failure(errors.Conflict('Other orders came.'))
        if self.clock.monotonic() < self.busy_until:
            return result.Failure(errors.Conflict('It is loading.'))
        if order.version == self.version:
            return result.Success(False)
        if order.version < self.version and start == self.starts:
            self.harmed = True
        self.version = order.version
        self.accepted += 1
        self.busy_until = self.clock.monotonic() + LOAD_S
        return result.Success(True)

    def restart(self):
        self.starts += 1
        self.accepted = 0
        self.busy_until = 0.0


class Loader(weight_loader.WeightLoader):
    """Reaches the targets, as a step says."""

    def __init__(self, targets):
        self.targets = {item.id: item for item in targets}
        self.fate = 'answer'
        self.late = []

    def report(self, chosen):
        return result.Success(self.targets[chosen.id].lagging)

    def load(self, chosen, order):
        target = self.targets[chosen.id]
        if self.fate == 'delay':
            self.late.append((target, order, chosen.started))
        elif self.fate == 'lose':
            target.carry_out(order, chosen.started)
        else:
            return target.carry_out(order, chosen.started)
        return result.Failure(errors.PlatformUncertain('No answer.'))

    def effect(self):
        for target, order, start in self.late:
            target.carry_out(order, start)
        self.late.clear()


class World:
    """Two daemons of which one may act, three targets, one model."""

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
        self.name()

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

    def name(self):
        """Let the trainer name the next version."""
        self.version += 1
        value = {'model': 'm', 'version': self.version}
        named = stored_object.StoredObject(
            'versions', 'm', self.version, value
        )
        for duty in self.duties:
            duty.state.mirrors['versions'].take_listing(
                self.version, (named,), self.clock.monotonic()
            )

    def look(self, fate='answer'):
        self.loader.fate = fate
        for duty, holder in zip(self.duties, self.holders, strict=True):
            if holder.number:
                duty.run_once()
            else:
                duty.reset()
        self.loader.fate = 'answer'

    def pass_time(self, seconds):
        """Let time pass; reports and registrations lag by one such step."""
        for duty in self.duties:
            registered = [item.registered for item in self.targets]
            fleet_parts.register(duty.state, *registered)
        for target in self.targets:
            target.lagging = target.state()
            target.registered = target.replica()
        self.clock.advance(seconds)

    def take(self, step):
        """Carry out one step."""
        if step == 'name':
            self.name()
        elif step in ('lose', 'delay'):
            self.look(step)
        elif step == 'effect':
            self.loader.effect()
        elif step in ('moment', 'second'):
            self.pass_time(0.3 if step == 'moment' else 1.2)
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
            self.look()

    def settles(self):
        """Return True if all targets reach the newest version."""
        self.loader.effect()
        for _ in range(60):
            self.pass_time(0.3)
            self.look()
        return all(item.version == self.version for item in self.targets)


def is_kept(steps, wrap=lambda loader: loader):
    world = World(wrap)
    for step in steps:
        world.take(step)
    settled = world.settles()
    return settled and not any(item.harmed for item in world.targets)


def test_every_order_of_three_steps():
    for steps in itertools.product(STEPS, repeat=3):
        assert is_kept(steps), steps


def test_long_random_histories():
    for steps in histories.random_histories(STEPS, 5, 400, 20):
        assert is_kept(steps), steps


class Unnumbered(weight_loader.WeightLoader):
    """Leaves out how many orders the target has accepted."""

    def __init__(self, inner):
        self.inner = inner

    def report(self, chosen):
        return self.inner.report(chosen)

    def load(self, chosen, order):
        return self.inner.load(chosen, Careless(order))


class Careless:
    """An order whose number fits whenever it arrives."""

    def __init__(self, order):
        self.version = order.version
        self.accepted_before = self

    def __ne__(self, other):
        return False

    __hash__ = None


def test_the_model_notices_orders_without_their_number():
    with pytest.raises(AssertionError):
        for steps in histories.random_histories(STEPS, 5, 400, 20):
            assert is_kept(steps, Unnumbered)
