"""Which client is closed when memory, threads or connections are short.

Heaviest load that it answers: clients that hold a lot and stand still, beside
ordinary ones that come and go.
"""

import pytest

from chestnutshunt import errors
from chestnutshunt import manual_clock
from chestnutshunt_daemon.clients import client_budget
from chestnutshunt_daemon.clients import holding

CONNECTION = client_budget.CONNECTION_BYTES
LIMIT = 100 * CONNECTION


class Client:
    def __init__(self, budget):
        self.budget = budget
        self.closed = False
        self.holder = budget.open(self.close)

    def close(self):
        self.closed = True

    def hold(self, size, part=holding.Part.BODY, wait_s=0.0):
        self.budget.cover(self.holder, part, size, wait_s)

    def ask(self):
        self.budget.begin_request(self.holder)

    def stall(self):
        self.budget.begin_wait(self.holder)

    def move(self, size):
        self.budget.end_wait(self.holder, size)


@pytest.fixture
def clock():
    return manual_clock.ManualClock()


@pytest.fixture
def budget(clock):
    return client_budget.ClientBudget(LIMIT, clock)


def test_what_is_held_counts_together_and_is_given_back(budget):
    first, second = Client(budget), Client(budget)
    first.hold(LIMIT // 2)
    with pytest.raises(errors.OutOfMemory) as raised:
        second.hold(LIMIT // 2)
    assert raised.value.retry_after_s > 0
    budget.end_request(first.holder)
    second.hold(LIMIT // 2)
    for client in (first, second):
        budget.close(client.holder)
        budget.close(client.holder)
    assert budget.used_bytes == 0


def test_the_one_that_holds_most_for_the_least_progress_is_closed(
    budget, clock
):
    small, large, moving, served = (Client(budget) for _ in range(4))
    small.hold(10 * CONNECTION)
    large.hold(40 * CONNECTION)
    moving.hold(20 * CONNECTION)
    served.hold(20 * CONNECTION)
    for client in (small, large, moving):
        client.ask()
        client.stall()
    clock.advance(client_budget.STALL_S)
    moving.move(holding.PROGRESS_BYTES)
    budget.free_memory(30 * CONNECTION)
    closed = [client.closed for client in (small, large, moving, served)]
    assert closed == [False, True, False, False]


def test_a_byte_now_and_then_is_no_progress(budget, clock):
    dripping = Client(budget)
    for _ in range(10):
        dripping.stall()
        clock.advance(1.0)
        dripping.move(1)
    dripping.stall()
    assert dripping.holder.stalled_s(clock.monotonic()) == 10.0


def test_the_time_in_which_a_client_waits_is_not_counted(budget, clock):
    client = Client(budget)
    client.stall()
    client.move(1)
    clock.advance(60.0)
    assert client.holder.stalled_s(clock.monotonic()) == 0.0


def test_silent_connections_are_closed_before_those_in_use(budget, clock):
    used, silent = Client(budget), Client(budget)
    used.ask()
    budget.end_request(used.holder)
    used.stall()
    clock.advance(20.0)
    silent.stall()
    for _ in range(budget.max_connections - 2):
        Client(budget)
    assert Client(budget).holder is not None
    assert (silent.closed, used.closed) == (True, False)


def test_a_connection_is_refused_if_none_stalls(budget):
    clients = [Client(budget) for _ in range(budget.max_connections)]
    assert Client(budget).holder is None
    assert not any(client.closed for client in clients)


def test_threads_are_freed_from_the_client_waited_for_the_longest(
    budget, clock
):
    clients = [Client(budget) for _ in range(3)]
    for client in clients:
        client.ask()
        client.stall()
        clock.advance(client_budget.STALL_S)
    budget.free_threads(2)
    assert [client.closed for client in clients] == [True, True, False]


def test_memory_of_accepted_work_is_not_given_to_clients(budget):
    budget.reserved_bytes = lambda: LIMIT // 2
    with pytest.raises(errors.OutOfMemory):
        Client(budget).hold(LIMIT // 2)


def test_what_never_fits_is_refused_at_once(budget, clock):
    stalled = Client(budget)
    stalled.stall()
    clock.advance(60.0)
    with pytest.raises(errors.OutOfMemory):
        Client(budget).hold(LIMIT + 1, wait_s=60.0)
    assert not stalled.closed


def test_idle_connections_are_kept_if_they_do_not_hold_enough(budget, clock):
    idle, stalled, served = (Client(budget) for _ in range(3))
    idle.stall()
    stalled.ask()
    stalled.hold(10 * CONNECTION)
    stalled.stall()
    served.hold(40 * CONNECTION)
    clock.advance(client_budget.STALL_S)
    budget.free_memory(50 * CONNECTION)
    assert (idle.closed, stalled.closed) == (False, True)
    budget.close(stalled.holder)
    budget.free_memory(CONNECTION)
    assert (idle.closed, served.closed) == (True, False)
