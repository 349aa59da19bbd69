import threading

import pytest

from chestnutshunt.admission import fair_queue
from chestnutshunt import errors
from chestnutshunt import manual_clock
from chestnutshunt import system_clock


def test_weights_decide_the_order():
    clock = system_clock.SystemClock()
    queue = fair_queue.FairQueue(clock, 1)
    queue.acquire('first', 1.0, 1.0, clock.monotonic() + 60, 100)
    order = []
    threads = []

    def wait(workspace, weight):
        queue.acquire(workspace, weight, 1.0, clock.monotonic() + 60, 100)
        order.append(workspace)
        queue.release(0.0)

    for workspace, weight in [('heavy', 3.0)] * 9 + [('light', 1.0)] * 9:
        before = sum(queue.waiting_counts.values())
        thread = threading.Thread(target=wait, args=(workspace, weight))
        thread.start()
        threads.append(thread)
        while sum(queue.waiting_counts.values()) == before:
            pass
    queue.release(0.0)
    for thread in threads:
        thread.join()
    assert order[:8].count('heavy') == 6
    assert order[:8].count('light') == 2


def test_full_queue_and_hopeless_deadline_are_refused():
    clock = manual_clock.ManualClock()
    queue = fair_queue.FairQueue(clock, 1)
    queue.acquire('a', 1.0, 1.0, clock.monotonic() + 60, 0)
    with pytest.raises(errors.QueueFull):
        queue.acquire('a', 1.0, 1.0, clock.monotonic() + 60, 0)
    queue.service_time_s = 10.0
    with pytest.raises(errors.DeadlineTooShort):
        queue.acquire('a', 1.0, 1.0, clock.monotonic() + 5, 10)


def test_request_that_would_end_too_late_is_refused():
    """The expected service time counts as well as the wait for a slot."""
    clock = manual_clock.ManualClock()
    queue = fair_queue.FairQueue(clock, 1)
    queue.acquire('a', 1.0, 1.0, clock.monotonic() + 60, 10)
    queue.service_time_s = 10.0
    with pytest.raises(errors.DeadlineTooShort):
        queue.acquire('a', 1.0, 1.0, clock.monotonic() + 15, 10)


def test_waiter_that_gives_up_leaves_no_trace():
    clock = system_clock.SystemClock()
    queue = fair_queue.FairQueue(clock, 1)
    queue.acquire('a', 1.0, 1.0, clock.monotonic() + 60, 10)
    with pytest.raises(errors.DeadlineTooShort):
        queue.acquire('b', 1.0, 1.0, clock.monotonic() + 0.01, 10)
    assert not queue.waiting_counts
    queue.release(0.0)
    assert queue.in_flight == 0
