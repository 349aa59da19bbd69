import pathlib

import pytest

from examples import replay

FOLDER = pathlib.Path(replay.__file__).with_name('traces')


@pytest.mark.parametrize('name', ['workshop_night', 'patitas_saturday'])
def test_trace_has_its_stated_outcomes(name, tmp_path):
    events = replay.read_trace(str(FOLDER / f'{name}.jsonl'))
    verdict = replay.replay(events, str(tmp_path))
    assert verdict.failures == []
    assert verdict.passed_count >= len([e for e in events if 'fault' not in e])
