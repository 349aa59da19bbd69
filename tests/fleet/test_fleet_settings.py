"""Checks and derived values of the settings of a fleet's daemon."""

import pytest

from chestnutshunt import errors
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon import settings


def build(**values):
    return settings.build_checked(
        'x.toml',
        {'name': 'd', 'role': 'front', **values},
        fleet_settings.FleetSettings,
    )


@pytest.mark.parametrize('threads', [-1, 1, 3])
def test_too_few_threads_are_refused(threads):
    with pytest.raises(errors.BadSetting, match='at least 4, or 0'):
        build(threads=threads)


def test_threads_follow_the_size_of_the_vm():
    small = build(processor_share=0.5)
    assert small.caller_threads < build().caller_threads
    assert build(threads=4).caller_threads == 4


@pytest.mark.parametrize('memory_mb', [128, 150, 200, 256, 300, 552])
def test_running_items_fit_into_the_memory_of_the_vm(memory_mb):
    config = build(memory_mb=memory_mb)
    assert 160 <= config.running_items <= 1500
    used_mb = fleet_settings.BASE_MEMORY_MB + 0.15 * config.running_items
    assert used_mb <= memory_mb or config.running_items == 160


def test_a_step_of_the_largest_trainers_runs_at_one_vm():
    assert build(memory_mb=256).running_items >= 1024
