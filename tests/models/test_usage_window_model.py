"""Usage reports under late writes, takeovers, restarts and lost answers.

Whatever the order of steps, all reports of one window that arrive have the
same figures, and none counts more than what happened.
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
    'tell',
    'look',
    'late write',
    'lost report',
    'effect',
    'time',
    'takeover',
    'restart',
)


class LosingPlatform(memory_duty_platform.MemoryDutyPlatform):
    """Takes reports, and loses an answer when a step asks for it."""

    def __init__(self):
        super().__init__()
        self.lose = False

    def record(self, entries, entry):
        taken = super().record(entries, entry)
        if self.lose:
            return result.Failure(errors.PlatformUncertain('No answer.'))
        return taken


class World:
    """Two daemons that count; one of them at a time reports."""

    def __init__(self, duty_type):
        self.duty_type = duty_type
        self.clock = manual_clock.ManualClock(1e6)
        self.store = late_store.LateStore()
        self.platform = LosingPlatform()
        self.fences = itertools.count(2)
        self.holders = [histories.Holder(1), histories.Holder()]
        self.duties = [self.make(place) for place in range(2)]
        self.truth = collections.Counter()

    def make(self, place):
        config = fleet_settings.FleetSettings(
            name=f'd{place}',
            role='front',
            datacentre='a',
            usage_window_s=WINDOW_S,
        )
        state = fleet_state.FleetState(config, main.STORE_SCHEMA, self.clock)
        return self.duty_type(
            state, self.holders[place], self.store, self.platform
        )

    def count(self, place):
        counts = self.duties[place].state.counts
        counts.add('w', self.clock.wall())
        self.truth[counts.window_at(self.clock.wall())] += 1

    def tell(self):
        for one, other in (self.duties, self.duties[::-1]):
            name = f'{one.state.config.name}/{one.state.incarnation}'
            other.state.counts.take_peer(name, one.state.counts.totals())

    def look(self):
        for duty in self.duties:
            if duty.holder.number:
                duty.run_once()
            else:
                duty.reset()

    def take(self, step):
        """Carry out one step."""
        name, _, place = step.partition(' ')
        if name == 'count':
            self.count(int(place))
        elif name == 'tell':
            self.tell()
        elif name == 'effect':
            self.store.release()
        elif name == 'time':
            self.clock.advance(1.7)
        elif name == 'takeover':
            for holder in self.holders:
                holder.number = 0 if holder.number else next(self.fences)
        elif name == 'restart':
            self.duties[0] = self.make(0)
        else:
            self.store.hold_next = name == 'late'
            self.platform.lose = name == 'lost'
            self.look()
            self.store.hold_next = False
            self.platform.lose = False

    def is_right(self):
        """Tell whether each window has one set of figures, none too high."""
        figures = {}
        for _, _, window, counts in self.platform.reports:
            if figures.setdefault(window, counts) != counts:
                return False
            if counts.get('w', 0) > self.truth[window]:
                return False
        return True


def is_kept(steps, duty_type=usage_duty.UsageDuty):
    world = World(duty_type)
    for step in steps:
        world.take(step)
    return world.is_right()


def test_long_random_histories():
    for steps in histories.random_histories(STEPS, 3, 600, 30):
        assert is_kept(steps), steps


def test_a_window_that_is_told_of_is_reported_in_full():
    world = World(usage_duty.UsageDuty)
    for step in ('count 0', 'count 1', 'count 1', 'tell', 'time', 'time'):
        world.take(step)
    window = next(iter(world.truth))
    world.take('lost report')
    world.take('takeover')
    world.take('look')
    reports = [x for x in world.platform.reports if x[2] == window]
    assert [(x[0], x[3]) for x in reports] == [
        ('d0', {'w': 3}),
        ('d1', {'w': 3}),
    ]


class Unfrozen(usage_duty.UsageDuty):
    """Reports what it knows at the moment."""

    def freeze(self, window):
        return self.state.counts.sum_of(window)


class Adding(usage_duty.UsageDuty):
    """Adds its own count to a window that another daemon froze."""

    def freeze(self, window):
        frozen = super().freeze(window)
        if frozen is None:
            return None
        own = self.state.counts.own.get(window, {})
        return {'w': frozen.get('w', 0) + own.get('w', 0)}


def test_the_model_notices_windows_that_are_not_frozen():
    for duty_type in (Unfrozen, Adding):
        assert not all(
            is_kept(steps, duty_type)
            for steps in histories.random_histories(STEPS, 3, 600, 30)
        ), duty_type
