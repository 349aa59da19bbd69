"""What a daemon on the platform spends on control, by size.

Run as ``python -m benchmarks.fleet``. Heartbeats are made and taken in one
process, without a wire; bytes are those of the message.
"""

import json
import time

from benchmarks import fit
from chestnutshunt.store import stored_object
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.peers import heartbeat
from chestnutshunt_platform import main as platform_main

TARGETS = (8, 100, 500, 2000)
ROUNDS = 200

LARGE = 6400
"""Targets at the size to build towards."""


def make_state(name, targets):
    """Return a daemon that knows some targets and uses all of them."""
    config = fleet_settings.FleetSettings(
        name=name, role='front', datacentre='a', peer_address=f'{name}:1'
    )
    state = fleet_state.FleetState(config, platform_main.STORE_SCHEMA)
    state.mirrors['servers'].take_listing(
        1, registrations(targets), state.clock.monotonic()
    )
    for held in state.replicas.all():
        state.replicas.begin(held)
    return state


def registrations(count):
    """Return registrations as the store lists them."""
    return tuple(
        stored_object.StoredObject(
            'servers',
            f'i-{number:010x}',
            1,
            {
                'service': 'model',
                'address': f'10.0.{number // 250}.{number % 250 + 1}:8000',
                'zone': 'a',
                'slots': 12,
                'state': 'ready',
                'models': [{'name': 'm', 'version': 1}],
            },
        )
        for number in range(count)
    )


def measure(count):
    """Return bytes and seconds of a heartbeat, bytes and seconds of a list."""
    one = make_state('one', count)
    two = make_state('two', count)
    now = two.clock.monotonic()
    message = heartbeat.make_heartbeat(one, False)
    began = time.process_time()
    for _ in range(ROUNDS):
        message = heartbeat.make_heartbeat(one, False)
        heartbeat.apply_heartbeat(two, message, now, now)
    beat = (time.process_time() - began) / ROUNDS
    listed = registrations(count)
    size = sum(len(json.dumps(x.value)) + 120 for x in listed)
    began = time.process_time()
    for revision in range(2, 7):
        changed = [
            stored_object.StoredObject(x.kind, x.name, revision, x.value)
            for x in listed
        ]
        two.mirrors['servers'].take_listing(revision, tuple(changed), now)
    return message.ByteSize(), beat, size, (time.process_time() - began) / 5


def main():
    """Print measurements, fits and the value at the large size."""
    rows = [(count, *measure(count)) for count in TARGETS]
    names = (
        ('heartbeat', 'B'),
        ('heartbeat made and taken', 's'),
        ('list of registrations', 'B'),
        ('list taken over', 's'),
    )
    for position, (name, unit) in enumerate(names, 1):
        points = [(row[0], row[position]) for row in rows]
        fit.show(name, unit, points, LARGE, 'targets')


if __name__ == '__main__':
    main()
