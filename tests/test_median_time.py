from chestnutshunt import manual_clock
from chestnutshunt import median_time


class JumpingClock(manual_clock.ManualClock):
    jump = 0.0

    def wall(self):
        return self.now + 5000 + self.jump


def test_a_jump_of_the_own_clock_is_outvoted():
    clock = JumpingClock()
    shared_time = median_time.MedianTime(clock)
    for name in ('a', 'b'):
        shared_time.record_peer(name, clock.wall(), clock.monotonic())
    clock.jump = 2400.0
    clock.advance(7)
    assert shared_time.now() == clock.now + 5000


def test_alone_the_own_clock_counts():
    clock = JumpingClock()
    assert median_time.MedianTime(clock).now() == clock.wall()
