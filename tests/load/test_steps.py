"""Load patterns of trainers' steps, compared with simpler strategies.

- Straggling groups: a few items take five times as long as the rest, and a
  step ends with the last group that it needs.
- Prompt locality: the items of a group share a prompt.
- Concurrent steps with a connection reset: one fault breaks many items at
  once.
"""

import statistics

from chestnutshunt.jobs import item_order
from chestnutshunt.routing import breaker
from tests.load import step_simulation

SEEDS = range(60)

# Groups of three steps that wait at the same time.
CONCURRENT_GROUP_COUNT = 30

# Time in which a step should end, as configured in the deployments.
STEP_DEADLINE_S = 7.5


def run_all(order, choose, **fields):
    return [
        step_simulation.StepSimulation(seed, **fields).run(order, choose)
        for seed in SEEDS
    ]


def test_starting_long_items_first_shortens_steps():
    optimised = run_all(
        item_order.start_order, step_simulation.choose_by_prompt
    )
    baseline = run_all(
        step_simulation.submission_order, step_simulation.choose_by_prompt
    )
    mean = statistics.mean(x.wanted_groups_s for x in optimised)
    assert mean < statistics.mean(x.wanted_groups_s for x in baseline)
    late = sum(x.wanted_groups_s > STEP_DEADLINE_S for x in optimised)
    assert late <= sum(x.wanted_groups_s > STEP_DEADLINE_S for x in baseline)


def test_prompt_locality_saves_prompt_reads():
    optimised = run_all(
        item_order.start_order, step_simulation.choose_by_prompt, targets=5
    )
    baseline = run_all(
        item_order.start_order, step_simulation.choose_least_loaded, targets=5
    )
    prompts_read = sum(x.prompts_read for x in optimised)
    assert prompts_read < sum(x.prompts_read for x in baseline)
    groups = 10 * len(SEEDS)
    assert prompts_read < 1.5 * groups


def test_connection_reset_ejects_target_for_one_second_only():
    """A reset that breaks all items of a target counts as one failure.

    When each broken item counted, the target was ejected for 30 s.
    """

    def after_reset(order):
        def start(states):
            view = simulation.view
            target = next(iter(view.replicas.values()))
            for _ in range(step_simulation.SLOT_COUNT):
                view.state(target).breaker.record_failure()
            return order(states)

        return start

    delays = []
    for seed in SEEDS:
        simulation = step_simulation.StepSimulation(
            seed, groups=CONCURRENT_GROUP_COUNT
        )
        faulty = simulation.run(
            after_reset(item_order.start_order),
            step_simulation.choose_by_prompt,
        )
        undisturbed = step_simulation.StepSimulation(
            seed, groups=CONCURRENT_GROUP_COUNT
        ).run(item_order.start_order, step_simulation.choose_by_prompt)
        delays.append(faulty.wanted_groups_s - undisturbed.wanted_groups_s)
    assert statistics.mean(delays) < breaker.FIRST_EJECTION_S
