"""Heavy load in patterns, beside what was done before.

- Straggling groups: a few items take five times as long as the rest, and a
  step ends with its last wanted group.
- Prompt locality: the items of a group share a prompt.
- Trainers' steps together with a reset: one fault breaks many items at once.
"""

import statistics

from chestnutshunt.jobs import item_order
from chestnutshunt.routing import breaker
from tests.load import step_simulation

SEEDS = range(60)

STEPS_TOGETHER = 30
"""Groups where three steps wait at one time."""

DUE_S = 7.5
"""Seconds within which a step is due, as the deployments have it."""


def run_all(order, choose, **fields):
    return [
        step_simulation.StepSimulation(seed, **fields).run(order, choose)
        for seed in SEEDS
    ]


def test_straggling_groups_end_sooner_when_long_ones_start_first():
    ours = run_all(item_order.start_order, step_simulation.choose_by_prompt)
    before = run_all(
        step_simulation.submission_order, step_simulation.choose_by_prompt
    )
    mean = statistics.mean(x.wanted_groups_s for x in ours)
    assert mean < statistics.mean(x.wanted_groups_s for x in before)
    late = sum(x.wanted_groups_s > DUE_S for x in ours)
    assert late <= sum(x.wanted_groups_s > DUE_S for x in before)


def test_a_shared_prompt_is_read_less_often():
    ours = run_all(
        item_order.start_order, step_simulation.choose_by_prompt, targets=5
    )
    before = run_all(
        item_order.start_order, step_simulation.choose_least_loaded, targets=5
    )
    ours_read = sum(x.prompts_read for x in ours)
    assert ours_read < sum(x.prompts_read for x in before)
    groups = 10 * len(SEEDS)
    assert ours_read < 1.5 * groups


def test_a_reset_leaves_its_target_idle_for_a_second_only():
    """Each of its items counted as a fault, and it was left for 30 s."""

    def broken(order):
        def start(states):
            view = world.view
            target = next(iter(view.replicas.values()))
            for _ in range(step_simulation.SLOTS):
                view.state(target).breaker.failed()
            return order(states)

        return start

    lost = []
    for seed in SEEDS:
        world = step_simulation.StepSimulation(seed, groups=STEPS_TOGETHER)
        hurt = world.run(
            broken(item_order.start_order), step_simulation.choose_by_prompt
        )
        whole = step_simulation.StepSimulation(
            seed, groups=STEPS_TOGETHER
        ).run(item_order.start_order, step_simulation.choose_by_prompt)
        lost.append(hurt.wanted_groups_s - whole.wanted_groups_s)
    assert statistics.mean(lost) < breaker.FIRST_EJECTION
