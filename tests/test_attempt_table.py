"""Attempts that are kept for duplicates of their requests."""

from chestnutshunt.attempts import attempt_table
from chestnutshunt.attempts import identity
from chestnutshunt import manual_clock

BODY = b'x' * 1_000_000


# chestnutshuntd kept whole bodies for 30 s, outside of any bound.
def test_bodies_are_not_kept_for_duplicates():
    clock = manual_clock.ManualClock()
    table = attempt_table.AttemptTable(clock)
    digest = identity.content_digest(BODY)
    kept, is_new = table.join_or_start('i', digest)
    assert is_new
    kept.finish(clock.monotonic())
    table.close(kept)
    found, is_new = table.join_or_start('i', digest)
    assert not is_new
    assert found.body_digest == digest
    assert found.body_digest != identity.content_digest(BODY + b'x')
    assert len(found.body_digest) == 16
