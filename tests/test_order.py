"""Orders to targets, which are written conditionally and fenced."""

import pytest
from returns import result

from chestnutshunt import errors
from chestnutshunt.fleet import order
from chestnutshunt.store import memory_store

START = order.Order('t', 'start', 'demand')
STOP = order.Order('t', 'stop', 'idle')


@pytest.fixture
def store():
    return memory_store.MemoryStore()


def read_order(store):
    return store.get(order.ORDER_KIND, 't').unwrap().value


def test_an_order_may_be_repeated_and_replaced(store):
    for new_order in (START, START, STOP):
        order.place(store, new_order, 'fleet/a', 3).unwrap()
    assert (read_order(store)['action'], read_order(store)['fence']) == (
        'stop',
        3,
    )


def test_an_earlier_holder_cannot_order_any_more(store):
    order.place(store, START, 'fleet/a', 4).unwrap()
    outcome = order.place(store, STOP, 'fleet/a', 3)
    assert isinstance(outcome.failure(), errors.Conflict)
    assert read_order(store)['action'] == 'start'


def test_an_order_that_was_decided_before_a_later_one_conflicts(store):
    """The former holder is paused between its read and its write."""
    read_store = store.get

    def read_then_pause(kind, name):
        found = read_store(kind, name)
        store.get = read_store
        order.place(store, START, 'fleet/a', 4).unwrap()
        return found

    store.get = read_then_pause
    outcome = order.place(store, STOP, 'fleet/a', 3)
    assert isinstance(outcome.failure(), errors.Conflict)
    assert read_order(store)['action'] == 'start'


def test_an_order_is_not_taken_while_the_store_is_away(store):
    store.down = True
    assert isinstance(order.place(store, START, 'fleet/a', 1), result.Failure)
