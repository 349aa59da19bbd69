"""A job with more items than the daemon has threads, and a replica drains.

The replica reports that it drains, as in a release, and goes on serving.
"""

import base64
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402

__all__ = ['play']

FRONTS = {'front-1': 'marmara-a', 'front-2': 'marmara-b', 'front-3': 'ege-a'}
ENGINES = [f'engine-{number:02d}' for number in range(1, 17)]
SLOTS = 16
GROUP_COUNT = 16
GROUP_SIZE = 16
EVENT_COUNT = 50
EVENT_MS = 100
DRAIN_AFTER_S = 1.0
DRAIN_S = 2.5
WATCH_S = 14.0


def submit(deployment, record):
    """Submit the job."""
    items = [
        {
            'id': f'{number:016x}',
            'path': f'/roll/{number}',
            'headers': {'X-Model': 'm0', 'X-Token-Count': '1016,50'},
            'body': base64.b64encode(b'prompt').decode(),
            'tokens': 1066,
            'group': f'g{number // GROUP_SIZE}',
        }
        for number in range(GROUP_COUNT * GROUP_SIZE)
    ]
    job = {'step': 0, 'model': 'm0', 'minVersion': 1, 'desired': 13}
    status, _, _ = rig2.send(
        deployment.address('front-1'),
        'POST',
        '/roll/1',
        json.dumps({**job, 'items': items}).encode(),
        {
            'Host': rig2.HOST,
            'Authorization': f'Bearer {rig2.KEY}',
            'X-Request-Id': '7c41e09b52d6a3f8',
            'Content-Type': 'application/json',
        },
    )
    record.add(f'job of {len(items)} items submitted: {status}')
    if status != 202:
        raise rig2.CannotRun('job not accepted')


def play(deployment, record, trouble):
    """Play the case; return what broke the rule."""
    for number, name in enumerate(ENGINES, 21):
        deployment.replica(
            name,
            number,
            'recipe-model',
            'marmara-a',
            model='m0',
            slots=SLOTS,
            events=EVENT_COUNT,
            work_ms=EVENT_MS,
        )
    route = {
        'name': 'r-roll',
        'host': rig2.HOST,
        'pathPrefix': '/roll/',
        'kind': 'rollout',
        'timeoutMs': 10000,
        'goalMs': 400,
        'dueMs': 12000,
        'itemTtlS': 40,
        'maxAttempts': 3,
        'priority': 1,
        'service': 'recipe-model',
    }
    service = {
        'name': 'recipe-model',
        'healthPath': '/health',
        'maxConns': 160,
        'engine': {'slots': SLOTS, 'models': [{'name': 'm0'}]},
    }
    deployment.configure([route], [service])
    for number, (name, zone) in enumerate(FRONTS.items(), 11):
        deployment.front(name, number, zone)
    deployment.wait_ready()
    time.sleep(4.0)
    submit(deployment, record)
    time.sleep(DRAIN_AFTER_S)
    # Any replica may drain; one that still has a free slot does.
    runs = {
        name: sum(e['event'] == 'run' for e in deployment.events(name))
        for name in ENGINES
    }
    record.add(f'items begun at each replica: {runs}')
    drained = min(ENGINES, key=runs.__getitem__)
    if trouble:
        deployment.kill(drained, signal.SIGUSR1)
        record.add(f'{drained} reports that it drains')
    time.sleep(WATCH_S)
    events = deployment.events(drained)
    accepted = [e['t'] for e in events if e['event'].startswith('draining')]
    runs = [e for e in events if e['event'] == 'run']
    record.add(f'{drained}: {len(runs)} runs')
    if not accepted:
        return []
    late = [e for e in runs if e['t'] > accepted[0] + DRAIN_S]
    for event in late:
        record.add(
            f'{event["id"]} reached {drained} '
            f'{event["t"] - accepted[0]:.3f} s after the acknowledgement'
        )
    if late:
        return [
            f'DRAIN: {len(late)} requests reached {drained} later than '
            f'{DRAIN_S} s after the store had accepted that it drains'
        ]
    return []


if __name__ == '__main__':
    rig2.run_case(FOLDER, play)
