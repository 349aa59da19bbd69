"""A step of a trainer at simulated targets, without network or threads."""

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

SLOTS = 12

EVENT_S = 0.05
"""Seconds that a target takes for one event."""

READ_S = 0.1
"""Seconds that a target takes to read a prompt that it has not kept."""

TICK_S = 0.03
"""Seconds between two looks for free slots."""


@attrs.frozen
class Outcome:
    """How a step went.

    Attributes
    ----------
    wanted_groups_s : float
        Seconds until 90 of 100 groups were whole.
    prompts_read : int
        Prompts that were read, again included.
    """

    wanted_groups_s: float
    prompts_read: int


def decode(held):
    return replica.Replica(
        held.name, 's', '127.0.0.1:1', 'a', SLOTS, versions={'m': 1}
    )


class StepSimulation:
    """Groups of items of heavy-tailed lengths, hints that are often wrong.

    Parameters
    ----------
    seed : int
        Seed of lengths and hints.
    targets, groups, size : int
        How many targets there are, groups of a step, and items of a group.
    """

    def __init__(self, seed, targets=2, groups=10, size=4):
        self.chance = random.Random(seed)
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
        mirror.take_listing(1, objects, self.clock.monotonic())
        self.events = {}
        self.states = []
        for number in range(groups * size):
            self.add(f'i{number}', f'g{number // size}')

    def add(self, name, group):
        count = int(self.chance.lognormvariate(2.6, 0.84))
        if self.chance.random() < 0.08:
            count *= 5
        self.events[name] = max(1, min(count, 140))
        hint = self.events[name] * self.chance.lognormvariate(0.0, 0.5)
        made = item.Item(name, '/', {}, b'', group, max(1, int(hint)))
        self.states.append(item_state.ItemState(made))

    def run(self, order, choose):
        """Run the step.

        Parameters
        ----------
        order : callable
            Returns the items in the order in which they are started.
        choose : callable
            Returns the target of an item, given those that read its prompt.
        """
        waiting = list(order(self.states))
        groups = {state.item.group for state in self.states}
        left = {
            group: sum(x.item.group == group for x in self.states)
            for group in groups
        }
        read = {group: set() for group in groups}
        ends = []
        prompts = 0
        done = 0
        began = self.clock.now
        while done < 0.9 * len(groups):
            while ends and ends[0][0] <= self.clock.now:
                _, _, state, target = heapq.heappop(ends)
                self.view.end(target)
                left[state.item.group] -= 1
                done += not left[state.item.group]
            while waiting:
                state = waiting[0]
                group = state.item.group
                target = choose(self.view, read[group])
                if target is None:
                    break
                waiting.pop(0)
                self.view.begin(target)
                takes = EVENT_S * self.events[state.item.id]
                if target.id not in read[group]:
                    read[group].add(target.id)
                    prompts += 1
                    takes += READ_S
                end = (self.clock.now + takes, state.item.id, state, target)
                heapq.heappush(ends, end)
            self.clock.advance(TICK_S)
        return Outcome(self.clock.now - began, prompts)


def submission_order(states):
    """Start items as they came: the code before the order by length."""
    return list(states)


def choose_by_prompt(view, read):
    """Choose as the runner does."""
    return view.choose_engine('s', 'm', 1, read)


def choose_least_loaded(view, read):
    """Choose the least loaded target: the code before prompt locality."""
    return view.choose_engine('s', 'm', 1)
