"""Usage reports under late writes, takeovers, restarts and lost answers.

In every order of steps, all reports of a window that arrive have the same
figures, and none counts more requests than there were.
"""

import collections
import itertools

from returns import result

from chestnutshunt.duties import memory_duty_platform
from chestnutshunt import errors
from chestnutshunt import manual_clock
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.fleet import usage_duty
from chestnutshunt_platform import main
from tests import late_store
from tests.models import histories

WINDOW_S = 1.0

STEPS = (
    'count 0',
    'count 1',
    'heartbeat',
    'report',
    'late write',
    'lost report',
    'release write',
    'advance clock',
    'takeover',
    'restart',
)


class LosingPlatform(memory_duty_platform.MemoryDutyPlatform):
    """Records reports, and loses the answers while a step asks for it."""

    def __init__(self):
        super().__init__()
        self.loses_answers = False

    def record(self, entries, entry):
        outcome = super().record(entries, entry)
        if self.loses_answers:
            return result.Failure(errors.PlatformUncertain('No answer.'))
        return outcome


class UsageModel:
    """Two daemons that count requests; one at a time reports usage."""

    def __init__(self, duty_type):
        self.duty_type = duty_type
        self.clock = manual_clock.ManualClock(1e6)
        self.store = late_store.LateStore()
        self.platform = LosingPlatform()
        self.fences = itertools.count(2)
        self.holders = [histories.Holder(1), histories.Holder()]
        self.duties = [self.make_duty(index) for index in range(2)]
        self.counted = collections.Counter()

    def make_duty(self, index):
        config = fleet_settings.FleetSettings(
            name=f'd{index}',
            role='front',
            datacentre='a',
            usage_window_s=WINDOW_S,
        )
        state = fleet_state.FleetState(config, main.STORE_SCHEMA, self.clock)
        return self.duty_type(
            state, self.holders[index], self.store, self.platform
        )

    def count(self, index):
        counts = self.duties[index].state.counts
        counts.add('w', self.clock.wall())
        self.counted[counts.window_at(self.clock.wall())] += 1

    def exchange_totals(self):
        for one, other in (self.duties, self.duties[::-1]):
            name = f'{one.state.config.name}/{one.state.incarnation}'
            other.state.counts.set_peer_totals(
                name, one.state.counts.own_totals()
            )

    def report(self):
        for duty in self.duties:
            if duty.holder.number:
                duty.run_once()
            else:
                duty.reset()

    def apply(self, step):
        """Carry out one step."""
        name, _, argument = step.partition(' ')
        if name == 'count':
            self.count(int(argument))
        elif name == 'heartbeat':
            self.exchange_totals()
        elif name == 'release':
            self.store.release()
        elif name == 'advance':
            self.clock.advance(1.7)
        elif name == 'takeover':
            for holder in self.holders:
                holder.number = 0 if holder.number else next(self.fences)
        elif name == 'restart':
            self.duties[0] = self.make_duty(0)
        else:
            self.store.hold_next = name == 'late'
            self.platform.loses_answers = name == 'lost'
            self.report()
            self.store.hold_next = False
            self.platform.loses_answers = False

    def is_consistent(self):
        """Return whether each window has one set of figures, none too high."""
        figures = {}
        for _, _, window, counts in self.platform.reports:
            if figures.setdefault(window, counts) != counts:
                return False
            if counts.get('w', 0) > self.counted[window]:
                return False
        return True


def is_consistent_after(steps, duty_type=usage_duty.UsageDuty):
    model = UsageModel(duty_type)
    for step in steps:
        model.apply(step)
    return model.is_consistent()


def test_long_random_histories():
    for steps in histories.random_histories(STEPS, 3, 600, 30):
        assert is_consistent_after(steps), steps


def test_a_window_known_to_the_peer_is_reported_in_full():
    model = UsageModel(usage_duty.UsageDuty)
    for step in (
        'count 0',
        'count 1',
        'count 1',
        'heartbeat',
        'advance clock',
        'advance clock',
    ):
        model.apply(step)
    window = next(iter(model.counted))
    model.apply('lost report')
    model.apply('takeover')
    model.apply('report')
    reports = [x for x in model.platform.reports if x[2] == window]
    assert [(x[0], x[3]) for x in reports] == [
        ('d0', {'w': 3}),
        ('d1', {'w': 3}),
    ]


class UnfrozenUsageDuty(usage_duty.UsageDuty):
    """Reports the current counts without freezing the window."""

    def freeze(self, window):
        return self.state.counts.fleet_totals(window)


class AddingUsageDuty(usage_duty.UsageDuty):
    """Adds its own count to a window that another daemon froze."""

    def freeze(self, window):
        frozen = super().freeze(window)
        if frozen is None:
            return None
        own = self.state.counts.own_counts.get(window, {})
        return {'w': frozen.get('w', 0) + own.get('w', 0)}


def test_the_model_detects_windows_that_are_not_frozen():
    for duty_type in (UnfrozenUsageDuty, AddingUsageDuty):
        assert not all(
            is_consistent_after(steps, duty_type)
            for steps in histories.random_histories(STEPS, 3, 600, 30)
        ), duty_type
