from chestnutshunt.usage import window_counts


def test_sums_over_daemons_and_takes_back_what_did_not_run():
    counts = window_counts.WindowCounts(5.0)
    counts.add('w', 12.0)
    counts.add('w', 12.0)
    counts.add('w', 13.0, -1)
    counts.add('v', 15.0)
    counts.set_peer_totals('p/1', {2: {'w': 4}})
    counts.set_peer_totals('p/1', {2: {'w': 6}})
    assert counts.fleet_totals(2) == {'w': 7}
    assert counts.fleet_totals(3) == {'v': 1}


def test_counts_of_two_starts_of_a_peer_add_up():
    counts = window_counts.WindowCounts(5.0)
    counts.set_peer_totals('p/1', {2: {'w': 4}})
    counts.set_peer_totals('p/2', {2: {'w': 1}})
    assert counts.fleet_totals(2) == {'w': 5}


def test_windows_are_bounded():
    counts = window_counts.WindowCounts(1.0)
    for second in range(100):
        counts.add('w', second)
    assert len(counts.own_totals()) == window_counts.KEPT_WINDOW_COUNT
