"""The adapter's clients are found by their entry points."""

from importlib import metadata

import pytest

from chestnutshunt import errors
from chestnutshunt.store import adapter
from chestnutshunt_platform import duty_client
from chestnutshunt_platform import store_client


def test_addresses_and_bounds_reach_the_clients():
    reached = adapter.connect('http://10.0.0.1:7/', 'http://10.0.0.2:8', 2.0)
    assert isinstance(reached.store.store, store_client.StoreClient)
    assert isinstance(reached.duties, duty_client.DutyClient)
    assert reached.store.store.address == '10.0.0.1:7'
    assert reached.duties.address == '10.0.0.2:8'
    assert reached.store.store.client.call_s == 2.0


def test_the_store_takes_duty_calls_where_nothing_else_is_named():
    assert adapter.connect('http://h:7').duties.address == 'h:7'


def test_without_an_adapter_the_error_names_the_package(monkeypatch):
    monkeypatch.setattr(metadata, 'entry_points', lambda group: ())
    with pytest.raises(errors.AdapterMissing, match='platform/'):
        adapter.connect('http://10.0.0.1:7')
