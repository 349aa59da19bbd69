"""Control cost of a daemon on the platform, by number of targets.

Run as ``python -m benchmarks.fleet``. Heartbeats are built and applied in one
process, without a network; sizes are those of the encoded message.
"""

import json
import time

from benchmarks import fit
from chestnutshunt.store import stored_object
from chestnutshunt_daemon.fleet import fleet_settings
from chestnutshunt_daemon.fleet import fleet_state
from chestnutshunt_daemon.peers import heartbeat
from chestnutshunt_platform import main as platform_main

TARGET_COUNTS = (8, 100, 500, 2000)
ROUND_COUNT = 200

# Number of targets that the design aims at.
DESIGN_TARGET_COUNT = 6400


def make_state(name, targets):
    """Return the state of a daemon with a request at each of its targets."""
    config = fleet_settings.FleetSettings(
        name=name, role='front', datacentre='a', peer_address=f'{name}:1'
    )
    state = fleet_state.FleetState(config, platform_main.STORE_SCHEMA)
    state.mirrors['servers'].apply_listing(
        1, registrations(targets), state.clock.monotonic()
    )
    for replica in state.replicas.list_all():
        state.replicas.begin_request(replica)
    return state


def registrations(count):
    """Return registrations of targets as the store lists them."""
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
    """Return size and time of a heartbeat, then of a list, in B and s."""
    sender = make_state('one', count)
    receiver = make_state('two', count)
    now = receiver.clock.monotonic()
    message = heartbeat.make_heartbeat(sender, False)
    started_at = time.process_time()
    for _ in range(ROUND_COUNT):
        message = heartbeat.make_heartbeat(sender, False)
        heartbeat.apply_heartbeat(receiver, message, now, now)
    heartbeat_s = (time.process_time() - started_at) / ROUND_COUNT
    listed = registrations(count)
    size = sum(len(json.dumps(x.value)) + 120 for x in listed)
    started_at = time.process_time()
    for revision in range(2, 7):
        changed = [
            stored_object.StoredObject(x.kind, x.name, revision, x.value)
            for x in listed
        ]
        receiver.mirrors['servers'].apply_listing(
            revision, tuple(changed), now
        )
    return (
        message.ByteSize(),
        heartbeat_s,
        size,
        (time.process_time() - started_at) / 5,
    )


def main():
    """Print measurements, fits and the value at the design size."""
    rows = [(count, *measure(count)) for count in TARGET_COUNTS]
    names = (
        ('heartbeat', 'B'),
        ('heartbeat made and taken', 's'),
        ('list of registrations', 'B'),
        ('list taken over', 's'),
    )
    for position, (name, unit) in enumerate(names, 1):
        points = [(row[0], row[position]) for row in rows]
        fit.show(name, unit, points, DESIGN_TARGET_COUNT, 'targets')


if __name__ == '__main__':
    main()
