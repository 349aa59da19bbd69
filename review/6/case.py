"""A batch job that is open longer than ``statusS`` when its daemon is killed.

The daemon that runs the job is killed once and starts again a second later.
"""

import base64
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402

__all__ = ['play']

STATUS_S = 60
KILL_AFTER_S = STATUS_S + 4.0
RESTART_AFTER_S = 1.0
# The trainer ends the job at its deadline, this long after the submission.
DEADLINE_S = 82.0
# From the rule: idle for 5 s of steady state, which begins `contactMs` after
# the disruption.
IDLE_S = 5.0
CONTACT_S = 4.0
ITEM_COUNT = 72
FRONTS = {'front-1': 'marmara-a', 'front-2': 'marmara-b', 'front-3': 'ege-a'}
JOB = '7c41e09b52d6a3f8'


def items():
    """Return the items of the job."""
    return [
        {
            'id': f'{number:016x}',
            'path': f'/roll/{number}',
            'headers': {'X-Model': 'm0', 'X-Token-Count': '16,60'},
            'body': base64.b64encode(b'prompt').decode(),
            'tokens': 76,
            'group': f'g{number // 4}',
        }
        for number in range(1, ITEM_COUNT + 1)
    ]


def read_listed(deployment, name):
    """Return the number of results that a daemon lists."""
    headers = {'Host': rig2.HOST, 'Authorization': f'Bearer {rig2.KEY}'}
    after = 0
    while True:
        path = f'/v1/lots/{JOB}?after={after}'
        status, _, body = rig2.send(
            deployment.address(name), 'GET', path, b'', headers
        )
        if status != 200:
            return f'status {status}'
        page = json.loads(body)
        if page['nextToken'] == after:
            return after
        after = page['nextToken']


def play(deployment, record, trouble):
    """Play the case; return what broke the rule."""
    for number, name in enumerate(('engine-1', 'engine-2'), 21):
        deployment.replica(
            name,
            number,
            'recipe-model',
            'marmara-a',
            model='m0',
            slots=3,
            events=60,
            work_ms=100,
        )
    route = {
        'name': 'r-roll',
        'host': rig2.HOST,
        'pathPrefix': '/roll/',
        'kind': 'rollout',
        'timeoutMs': 82000,
        'goalMs': 400,
        'dueMs': 82000,
        'itemTtlS': 90,
        'maxAttempts': 3,
        'priority': 1,
        'service': 'recipe-model',
    }
    service = {
        'name': 'recipe-model',
        'healthPath': '/health',
        'maxConns': 160,
        'engine': {'slots': 3, 'models': [{'name': 'm0'}]},
    }
    deployment.configure([route], [service])
    for number, (name, zone) in enumerate(FRONTS.items(), 11):
        deployment.front(name, number, zone)
    deployment.wait_ready()
    time.sleep(3.0)
    body = {'step': 0, 'model': 'm0', 'minVersion': 1, 'desired': 18}
    headers = {
        'Host': rig2.HOST,
        'Authorization': f'Bearer {rig2.KEY}',
        'X-Request-Id': JOB,
        'Content-Type': 'application/json',
    }
    status, _, _ = rig2.send(
        deployment.address('front-1'),
        'POST',
        '/roll/7c41e0',
        json.dumps({**body, 'items': items()}).encode(),
        headers,
    )
    submitted_at = time.time()
    record.add(f'job of {ITEM_COUNT} items submitted: status {status}')
    if status != 202:
        raise rig2.CannotRun(f'job not accepted: {status}')
    time.sleep(KILL_AFTER_S)
    runner = max(
        FRONTS,
        key=lambda name: (
            (deployment.folder / f'{name}.out')
            .read_text()
            .count('Sending request')
        ),
    )
    if trouble:
        record.add(f'{runner}, which runs the job, is killed')
        deployment.kill(runner)
        time.sleep(RESTART_AFTER_S)
        ip, zone, memory_mb = deployment.fronts[runner]
        deployment.front(
            runner, int(ip.rpartition('.')[2]), zone, memory_mb, False
        )
        record.add(f'{runner} is started again')
    killed_at = time.time()
    time.sleep(submitted_at + DEADLINE_S - time.time())
    ended_at = time.time()
    events = [
        event
        for name in ('engine-1', 'engine-2')
        for event in deployment.events(name)
    ]
    finished = {e['id'] for e in events if e['event'] == 'answered'}
    begun = [e for e in events if e['event'] == 'run']
    late = [e for e in begun if e['t'] > killed_at + CONTACT_S]
    record.add(
        f'{len(finished)} of {ITEM_COUNT} items finished by replicas, '
        f'{len({e["id"] for e in begun})} begun, '
        f'{len(late)} runs begun in the last '
        f'{ended_at - killed_at - CONTACT_S:.1f} s; '
        f'the job is {ended_at - submitted_at:.0f} s old'
    )
    for name in FRONTS:
        record.add(f'{name} lists {read_listed(deployment, name)} results')
    last_work_at = max(e['t'] for e in events if e['event'] != 'started')
    idle_s = ended_at - max(last_work_at, killed_at + CONTACT_S)
    if len(finished) < ITEM_COUNT and idle_s > IDLE_S:
        return [
            f'LOST: the step ran out of time; {ITEM_COUNT - len(finished)} '
            'items that no replica has '
            f'finished or failed were at no replica for {idle_s:.1f} s of '
            f'steady state, while all {2 * 3} slots were free'
        ]
    return []


if __name__ == '__main__':
    rig2.run_case(FOLDER, play, bounds={'statusS': STATUS_S})
