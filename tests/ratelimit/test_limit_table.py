"""What a daemon believes of the rate limits of targets."""

import logging

from chestnutshunt import manual_clock
from chestnutshunt.ratelimit import limit_table
from chestnutshunt.replicas import replica

TARGET = replica.Replica('t', 's', 'a:1', 'x', started_ms=7)


def make_table():
    return limit_table.LimitTable(manual_clock.ManualClock())


def test_response_names_and_lifts_a_limit(caplog):
    caplog.set_level(logging.INFO)
    table = make_table()
    table.observe(TARGET, 2.5, table.clock.monotonic())
    assert table.rate(TARGET) == 2.5
    table.clock.advance(1)
    table.observe(TARGET, None, table.clock.monotonic())
    assert table.rate(TARGET) is None
    assert [(x.target, x.rate, x.before) for x in caplog.records] == [
        ('t/7', 2.5, None),
        ('t/7', None, 2.5),
    ]


def test_late_response_to_an_earlier_request_lifts_nothing():
    table = make_table()
    sent_at = table.clock.monotonic()
    table.clock.advance(1)
    table.observe(TARGET, 2.5, table.clock.monotonic())
    table.clock.advance(1)
    table.observe(TARGET, None, sent_at)
    assert table.rate(TARGET) == 2.5


def test_older_report_does_not_replace_a_newer_one():
    table = make_table()
    now = table.clock.monotonic()
    table.observe(TARGET, 2.5, now)
    table.record(TARGET.start_key, 9.0, now - 1)
    assert table.rate(TARGET) == 2.5


def test_restarted_target_has_no_limit():
    table = make_table()
    table.observe(TARGET, 2.5, table.clock.monotonic())
    restarted = replica.Replica('t', 's', 'a:1', 'x', started_ms=8)
    assert table.rate(restarted) is None
