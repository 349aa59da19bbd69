"""Configurations that reach a daemon by several threads at once."""

import threading

import attrs

from chestnutshunt.store import stored_object
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_platform import main
from tests import fleet_parts
from tests.jobs import test_job_runner

TIMEOUT_S = 20.0


class SlowVersion(int):
    """A version whose first comparison waits until it may go on."""

    def __new__(cls, value):
        version = super().__new__(cls, value)
        version.compared = threading.Event()
        version.may_go_on = threading.Event()
        return version

    def __lt__(self, other):
        older = int(self) < int(other)
        self.compared.set()
        self.may_go_on.wait(TIMEOUT_S)
        return older


def make_state(versions):
    def decode(value):
        deployment = test_job_runner.make_deployment()
        return attrs.evolve(deployment, version=versions[value['version']])

    schema = attrs.evolve(main.STORE_SCHEMA, decode_config=decode)
    config = fleet_parts.make_state().config
    return fleet_state.FleetState(config, schema)


def write_config(state, version):
    """Apply a change of the configuration, as a read of the store does."""
    schema = state.schema
    stored = stored_object.StoredObject(
        schema.config_kind, schema.config_name, version, {'version': version}
    )
    state.mirrors[schema.config_kind].apply_listing(
        version, (stored,), state.clock.monotonic()
    )


# Guards against CONFIG: a configuration that was in force came back older. Two
# threads applied two changes, and the older one came to its end last.
def test_older_configuration_does_not_replace_a_newer_one():
    slow = SlowVersion(2)
    state = make_state({1: 1, 2: slow, 3: 3})
    write_config(state, 1)
    older = threading.Thread(target=write_config, args=(state, 2))
    older.start()
    assert slow.compared.wait(TIMEOUT_S)
    newer = threading.Thread(target=write_config, args=(state, 3))
    newer.start()
    # Without a lock the newer one is in force by now.
    newer.join(0.5)
    slow.may_go_on.set()
    older.join(TIMEOUT_S)
    newer.join(TIMEOUT_S)
    assert state.deployment.version == 3
