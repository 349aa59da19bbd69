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
