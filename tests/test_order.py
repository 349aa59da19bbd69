"""Orders to targets, written under a condition."""

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


def held(store):
    return store.get(order.ORDER_KIND, 't').unwrap().value


def test_an_order_may_be_repeated_and_replaced(store):
    for wanted in (START, START, STOP):
        order.place(store, wanted, 'fleet/a', 3).unwrap()
    assert (held(store)['action'], held(store)['fence']) == ('stop', 3)


def test_an_earlier_holder_cannot_order_any_more(store):
    order.place(store, START, 'fleet/a', 4).unwrap()
    late = order.place(store, STOP, 'fleet/a', 3)
    assert isinstance(late.failure(), errors.Conflict)
    assert held(store)['action'] == 'start'


def test_an_order_that_was_decided_before_a_later_one_conflicts(store):
    """The earlier holder freezes between its read and its write."""
    read = store.get

    def freeze(kind, name):
        found = read(kind, name)
        store.get = read
        order.place(store, START, 'fleet/a', 4).unwrap()
        return found

    store.get = freeze
    late = order.place(store, STOP, 'fleet/a', 3)
    assert isinstance(late.failure(), errors.Conflict)
    assert held(store)['action'] == 'start'


def test_an_order_is_not_taken_while_the_store_is_away(store):
    store.down = True
    assert isinstance(order.place(store, START, 'fleet/a', 1), result.Failure)
