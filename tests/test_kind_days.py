import tomllib

from benchmarks import kind_days


def test_each_kind_has_a_day_alone_and_one_under_outages(tmp_path):
    count = kind_days.write_days(tmp_path)
    days = {
        path.stem: tomllib.loads(path.read_text())
        for path in tmp_path.iterdir()
    }
    assert len(days) == count
    assert len(days) == 2 * len(kind_days.FAULTS) + 2 * len(kind_days.PLANS)
    for name, day in days.items():
        entries = day['plan'] + day['faults']
        outages = [x for x in entries if x['kind'] == 'platform_down']
        kinds = {x['kind'] for x in entries} - {'platform_down'}
        assert len(kinds) == (0 if name.startswith('platform_down') else 1)
        if name.endswith('-over'):
            assert len(outages) >= len(kind_days.TIMES_S)
