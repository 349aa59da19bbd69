from chestnutshunt.rollout import straggler_rule


def test_only_stragglers_late_in_a_step_get_a_copy():
    rule = straggler_rule.StragglerRule(10)
    assert not rule.allow_copy(100.0)
    for _ in range(5):
        rule.add_duration(1.0)
    assert not rule.allow_copy(2.0)
    assert rule.allow_copy(2.6)
    assert not rule.allow_copy(2.6)
