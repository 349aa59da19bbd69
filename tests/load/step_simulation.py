"""Simulates a trainer's step at targets, without network or threads."""

import heapq
import random

import attrs

from chestnutshunt.jobs import item
from chestnutshunt.jobs import item_state
from chestnutshunt import manual_clock
from chestnutshunt.replicas import place
from chestnutshunt.replicas import replica
from chestnutshunt.replicas import replica_view
from chestnutshunt.store import kind_mirror
from chestnutshunt.store import stored_object

SLOT_COUNT = 12

# Time that a target takes for one event.
EVENT_S = 0.05

# Time that a target takes to read a prompt that it has not cached.
PROMPT_READ_S = 0.1

# Interval of the dispatcher.
TICK_S = 0.03


@attrs.frozen
class StepMeasurements:
    """Measurements of one simulated step.

    Attributes
    ----------
    wanted_groups_s : float
        Seconds until 90 % of the groups were complete.
    prompts_read : int
        Prompts that were read; repeated reads count.
    """

    wanted_groups_s: float
    prompts_read: int


def decode(stored):
    return replica.Replica(
        stored.name, 's', '127.0.0.1:1', 'a', SLOT_COUNT, versions={'m': 1}
    )


class StepSimulation:
    """Groups of items with heavy-tailed lengths and inaccurate length hints.

    Parameters
    ----------
    seed : int
        Seed of the lengths and hints.
    targets, groups, size : int
        Number of targets, of groups in the step, and of items in a group.
    """

    def __init__(self, seed, targets=2, groups=10, size=4):
        self.rng = random.Random(seed)
        self.clock = manual_clock.ManualClock()
        mirror = kind_mirror.KindMirror('k', self.clock)
        self.view = replica_view.ReplicaView(
            mirror,
            decode,
            place.Place('a', {'a': 'r'}),
            self.clock,
            random.Random(seed),
        )
        objects = tuple(
            stored_object.StoredObject('k', f't{n}', 1, {})
            for n in range(targets)
        )
        mirror.apply_listing(1, objects, self.clock.monotonic())
        self.events = {}
        self.states = []
        for number in range(groups * size):
            self.add(f'i{number}', f'g{number // size}')

    def add(self, name, group):
        count = int(self.rng.lognormvariate(2.6, 0.84))
        if self.rng.random() < 0.08:
            count *= 5
        self.events[name] = max(1, min(count, 140))
        hint = self.events[name] * self.rng.lognormvariate(0.0, 0.5)
        new_item = item.Item(name, '/', {}, b'', group, max(1, int(hint)))
        self.states.append(item_state.ItemState(new_item))

    def run(self, order, choose):
        """Run the step until 90 % of its groups are complete.

        Parameters
        ----------
        order : callable
            Returns the items in the order in which to start them.
        choose : callable
            Returns the target of an item, given the view and the ids of the
            targets that have read its prompt.
        """
        waiting = list(order(self.states))
        groups = {state.item.group for state in self.states}
        remaining = {
            group: sum(x.item.group == group for x in self.states)
            for group in groups
        }
        readers = {group: set() for group in groups}
        running = []
        prompts_read = 0
        completed_groups = 0
        started_at = self.clock.now
        while completed_groups < 0.9 * len(groups):
            while running and running[0][0] <= self.clock.now:
                _, _, state, target = heapq.heappop(running)
                self.view.end_request(target)
                remaining[state.item.group] -= 1
                completed_groups += not remaining[state.item.group]
            while waiting:
                state = waiting[0]
                group = state.item.group
                target = choose(self.view, readers[group])
                if target is None:
                    break
                waiting.pop(0)
                self.view.begin_request(target)
                duration_s = EVENT_S * self.events[state.item.id]
                if target.id not in readers[group]:
                    readers[group].add(target.id)
                    prompts_read += 1
                    duration_s += PROMPT_READ_S
                entry = (
                    self.clock.now + duration_s,
                    state.item.id,
                    state,
                    target,
                )
                heapq.heappush(running, entry)
            self.clock.advance(TICK_S)
        return StepMeasurements(self.clock.now - started_at, prompts_read)


def submission_order(states):
    """Start items in the order of submission, regardless of length."""
    return list(states)


def choose_by_prompt(view, readers):
    """Prefer targets that have read the prompt, as the job runner does."""
    return view.choose_engine('s', 'm', 1, readers)


def choose_least_loaded(view, readers):
    """Choose the least loaded target, regardless of the prompt."""
    return view.choose_engine('s', 'm', 1)
