"""Builders of parts of a fleet daemon for tests, without a store."""

import random

from chestnutshunt.store import stored_object
from chestnutshunt_daemon import connection_pool
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.targets import exchange
from chestnutshunt_daemon.targets import forwarder
from chestnutshunt_platform import main
from chestnutshunt_platform import target_codec


def make_state(clock=None, **settings):
    config = fleet_settings.FleetSettings(
        name='d1', role='front', datacentre='a', **settings
    )
    return fleet_state.FleetState(config, main.STORE_SCHEMA, clock)


def register(state, *targets):
    """Register targets in the mirror as the platform's store lists them."""
    mirror = state.mirrors['servers']
    revision = mirror.through + 1
    objects = tuple(
        stored_object.StoredObject(
            'servers',
            target.id,
            revision,
            {
                'service': target.service,
                'address': target.address,
                'zone': target.datacentre,
                'slots': target.slots,
                'born': target.started_ms,
                'version': target.software,
                'state': 'draining' if target.leaving else 'ready',
                'models': [
                    {'name': name, 'version': version}
                    for name, version in target.versions.items()
                ],
            },
        )
        for target in targets
    )
    mirror.apply_listing(revision, objects, state.clock.monotonic())


def make_exchanger(state):
    pool = connection_pool.ConnectionPool(state.clock)
    codec = target_codec.PlatformTargetCodec()
    return exchange.Exchanger(
        pool, codec, state.clock, state.rate_gate, state.replicas
    )


def make_forwarder(state):
    return forwarder.Forwarder(state, make_exchanger(state), random.Random(3))
