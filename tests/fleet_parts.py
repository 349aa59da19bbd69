"""Parts of a fleet daemon for tests, without a store."""

import random

from chestnutshunt.store import stored_object
from chestnutshunt_daemon import connection_pool
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.targets import exchange
from chestnutshunt_daemon.targets import forwarder
from chestnutshunt_platform import main
from chestnutshunt_platform import target_codec


def make_state(**settings):
    config = fleet_settings.FleetSettings(
        name='d1', role='front', datacentre='a', **settings
    )
    return fleet_state.FleetState(config, main.STORE_SCHEMA)


def register(state, *targets):
    """List fake targets as registered, in the platform's form."""
    mirror = state.mirrors['servers']
    revision = mirror.through + 1
    objects = tuple(
        stored_object.StoredObject(
            'servers',
            held.id,
            revision,
            {
                'service': held.service,
                'address': held.address,
                'zone': held.datacentre,
                'slots': held.slots,
                'born': held.started,
                'state': 'draining' if held.leaving else 'ready',
                'models': [
                    {'name': name, 'version': version}
                    for name, version in held.versions.items()
                ],
            },
        )
        for held in targets
    )
    mirror.take_listing(revision, objects, state.clock.monotonic())


def make_exchanger(state):
    pool = connection_pool.ConnectionPool(state.clock)
    form = target_codec.TargetCodec()
    return exchange.Exchanger(pool, form, state.clock)


def make_forwarder(state):
    return forwarder.Forwarder(state, make_exchanger(state), random.Random(3))
