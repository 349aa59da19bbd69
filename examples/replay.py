"""Replays a trace against daemons and checks its expected outcomes.

Which requests ran is read from the logs of the stand-ins. Run with
``python -m examples.replay examples/traces/workshop_night.jsonl``.
"""

from concurrent import futures
import contextlib
import json
import pathlib
import sys
import tempfile
import time

import urllib3

from chestnutshunt_standins import cluster

__all__ = ['Verdict', 'main', 'replay']

THREAD_COUNT = 48
DATACENTRES = ('near', 'near', 'far', 'far')
MAX_SEND_COUNT = 40
RESEND_PAUSE_S = 0.1


class Verdict:
    """Outcomes of a replayed trace."""

    def __init__(self) -> None:
        self.passed_count = 0
        self.failures: list[str] = []

    def record(self, event: dict, passed: bool, observed: object) -> None:
        """Record whether an event had its expected outcome."""
        if passed:
            self.passed_count += 1
        else:
            self.failures.append(f'{event}: {observed}')


def start_deployment(
    deployment: cluster.Cluster, events: list[dict]
) -> dict[str, str]:
    """Start targets and daemons; return a key of each workspace."""
    for datacentre in ('near', 'far'):
        deployment.target(
            'engine', 'model', datacentre, f'engine-{datacentre}'
        )
        deployment.target('plain', 'app', datacentre, f'app-{datacentre}')
    deployment.editor.set('services/model', {'protocol': 'engine'})
    deployment.editor.set('services/app', {'once_calls': ['POST /orders*']})
    names = sorted({e['workspace'] for e in events if 'workspace' in e})
    keys = {name: deployment.workspace(name) for name in names}
    for number, datacentre in enumerate(DATACENTRES):
        deployment.daemon(f'd{number}', datacentre)
    deployment.wait_ready()
    return keys


def inject_fault(
    deployment: cluster.Cluster, fault: str, keys: dict[str, str]
) -> None:
    """Inject a fault of the trace."""
    if fault == 'platform down':
        deployment.platform.set_faults(down=True)
    elif fault == 'platform up':
        deployment.platform.set_faults(down=False)
    elif fault == 'lose 3 replies':
        deployment.platform.set_faults(lose_replies=3)
    elif fault == 'kill a daemon':
        deployment.daemons[0].kill()
    elif fault.startswith('withdraw '):
        name = fault.removeprefix('withdraw ')
        key_id = keys[name].split('.')[1]
        path = f'workspaces/{name}/keys/{key_id}'
        deployment.editor.set(path, {'withdrawn': True})
    else:
        raise ValueError(f'unknown fault {fault!r} in the trace')


def request_body(event: dict) -> str:
    """Return the body of an event's request."""
    if event['service'] == 'model':
        return json.dumps({'prompt': 'p', 'max_tokens': event['size']})
    return (event['identity'] + ' ').ljust(event['size'], 'x')


def send(
    deployment: cluster.Cluster, event: dict, key: str, position: int
) -> str:
    """Send a request, resending it on errors; return the last outcome."""
    outcome = 'no answer'
    headers = {}
    if event['identity']:
        headers['Idempotency-Key'] = event['identity']
    for number in range(MAX_SEND_COUNT):
        live = [d for d in deployment.daemons if not d.ended()]
        daemon = live[(position + number) % len(live)]
        path = event['call'].split()[1]
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = daemon.call(
                f'/s/{event["service"]}{path}',
                request_body(event),
                key,
                headers,
            )
            if answer.status == 200:
                return 'answered'
            outcome = answer.json()['error']['kind']
            if outcome in ('unauthorized', 'outcome_unknown'):
                return outcome
        time.sleep(RESEND_PAUSE_S)
    return outcome


def replay(events: list[dict], folder: str) -> Verdict:
    """Replay a trace at its own pace and check every event."""
    verdict = Verdict()
    with cluster.cluster(folder) as deployment:
        keys = start_deployment(deployment, events)
        sent: list[tuple[dict, futures.Future]] = []
        started_at = time.monotonic()
        with futures.ThreadPoolExecutor(THREAD_COUNT) as pool:
            for position, event in enumerate(events):
                pause = started_at + event['at'] - time.monotonic()
                time.sleep(max(pause, 0))
                if 'fault' in event:
                    inject_fault(deployment, event['fault'], keys)
                    continue
                key = keys[event['workspace']]
                for number in range(1 + event['resends']):
                    task = pool.submit(
                        send, deployment, event, key, position + number
                    )
                    sent.append((event, task))
        check_outcomes(deployment, sent, verdict)
    return verdict


def check_outcomes(
    deployment: cluster.Cluster,
    sent: list[tuple[dict, futures.Future]],
    verdict: Verdict,
) -> None:
    """Compare the outcome of every send with the expected one."""
    runs: dict[str, int] = {}
    for target in deployment.targets:
        for entry in target.log('run'):
            name = entry['body'].split(' ')[0]
            runs[name] = runs.get(name, 0) + 1
    for event, task in sent:
        outcome = task.result()
        if event['expected'] == 'runs once':
            count = runs.get(event['identity'], 0)
            passed = count == 1 if outcome == 'answered' else count <= 1
            verdict.record(event, passed, (outcome, count))
        else:
            verdict.record(event, outcome == event['expected'], outcome)


def read_trace(path: str) -> list[dict]:
    """Read the events of a trace file."""
    lines = pathlib.Path(path).read_text().splitlines()
    return [json.loads(line) for line in lines]


def main() -> None:
    """Replay the named traces; exit with 1 if an outcome differs."""
    any_failed = False
    for path in sys.argv[1:]:
        with tempfile.TemporaryDirectory() as folder:
            verdict = replay(read_trace(path), folder)
        print(
            f'{path}: {verdict.passed_count} held, '
            f'{len(verdict.failures)} broken'
        )
        for line in verdict.failures:
            print(f'    {line}')
        any_failed = any_failed or bool(verdict.failures)
    sys.exit(any_failed)


if __name__ == '__main__':
    main()
