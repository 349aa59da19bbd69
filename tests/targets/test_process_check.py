"""Which process of a target runs, by its registration in the store."""

import attrs
import pytest

from chestnutshunt.replicas import replica
from chestnutshunt.store import memory_store
from chestnutshunt_daemon.targets import process_check
from tests import fleet_parts

KNOWN = replica.Replica(
    't1', 's', '127.0.0.1:1', 'a', 4, started_ms=1000, software='v1'
)


def make_check(stored):
    state = fleet_parts.make_state()
    fleet_parts.register(state, KNOWN)
    store = memory_store.MemoryStore()
    if stored is not None:
        value = {
            'service': stored.service,
            'address': stored.address,
            'zone': stored.datacentre,
            'slots': stored.slots,
            'born': stored.started_ms,
            'version': stored.software,
            'state': 'ready',
        }
        store.put('servers', stored.id, value, 0).unwrap()
    return process_check.ProcessCheck(state, store), store


@pytest.mark.parametrize(
    ('changes', 'same'),
    [
        ({}, True),
        ({'slots': 8}, True),
        ({'started_ms': 2000}, False),
        ({'started_ms': 2000, 'software': 'v2'}, False),
        ({'software': 'v2'}, False),
    ],
)
def test_a_process_is_known_by_its_start_and_software(changes, same):
    check, _ = make_check(attrs.evolve(KNOWN, **changes))
    assert check.is_current(KNOWN) is same


def test_a_target_that_is_gone_is_not_current():
    check, _ = make_check(None)
    assert not check.is_current(KNOWN)


def test_without_the_store_the_known_registration_counts():
    check, store = make_check(None)
    store.down = True
    assert check.is_current(KNOWN)
    fleet_parts.register(check.state, attrs.evolve(KNOWN, leaving=True))
    assert not check.is_current(KNOWN)
