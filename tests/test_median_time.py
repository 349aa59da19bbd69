from chestnutshunt import manual_clock
from chestnutshunt import median_time


class JumpingClock(manual_clock.ManualClock):
    jump = 0.0

    def wall(self):
        return self.now + 5000 + self.jump


def test_a_jump_of_the_own_clock_is_outvoted():
    source = JumpingClock()
    made = median_time.MedianTime(source)
    for name in ('a', 'b'):
        made.record_peer(name, source.wall(), source.monotonic())
    source.jump = 2400.0
    source.advance(7)
    assert made.now() == source.now + 5000


def test_alone_the_own_clock_counts():
    source = JumpingClock()
    assert median_time.MedianTime(source).now() == source.wall()
