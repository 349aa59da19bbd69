"""Replays a trace against daemons and holds it to its stated outcomes.

What ran is read from the stand-ins' own logs. Run with
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

THREADS = 48
DATACENTRES = ('near', 'near', 'far', 'far')
RESENDS_UNTIL_GIVEN_UP = 40
PAUSE_S = 0.1


class Verdict:
    """Outcomes of a replayed trace."""

    def __init__(self) -> None:
        self.held = 0
        self.broken: list[str] = []

    def note(self, event: dict, good: bool, seen: object) -> None:
        """Note whether an event had its stated outcome."""
        if good:
            self.held += 1
        else:
            self.broken.append(f'{event}: {seen}')


def start(made: cluster.Cluster, events: list[dict]) -> dict[str, str]:
    """Start targets and daemons; return a key of each workspace."""
    for datacentre in ('near', 'far'):
        made.target('engine', 'model', datacentre, f'engine-{datacentre}')
        made.target('plain', 'app', datacentre, f'app-{datacentre}')
    made.editor.set('services/model', {'protocol': 'engine'})
    made.editor.set('services/app', {'once_calls': ['POST /orders*']})
    names = sorted({e['workspace'] for e in events if 'workspace' in e})
    keys = {name: made.workspace(name) for name in names}
    for number, datacentre in enumerate(DATACENTRES):
        made.daemon(f'd{number}', datacentre)
    made.wait_ready()
    return keys


def bring_about(
    made: cluster.Cluster, fault: str, keys: dict[str, str]
) -> None:
    """Bring about a fault of the trace."""
    if fault == 'platform down':
        made.platform.set_faults(down=True)
    elif fault == 'platform up':
        made.platform.set_faults(down=False)
    elif fault == 'lose 3 replies':
        made.platform.set_faults(lose_replies=3)
    elif fault == 'kill a daemon':
        made.daemons[0].kill()
    elif fault.startswith('withdraw '):
        name = fault.removeprefix('withdraw ')
        key_id = keys[name].split('.')[1]
        path = f'workspaces/{name}/keys/{key_id}'
        made.editor.set(path, {'withdrawn': True})
    else:
        raise ValueError(f'The fault {fault!r} is not known.')


def body_of(event: dict) -> str:
    """Return the body of an event's request."""
    if event['service'] == 'model':
        return json.dumps({'prompt': 'p', 'max_tokens': event['size']})
    return (event['identity'] + ' ').ljust(event['size'], 'x')


def send(made: cluster.Cluster, event: dict, key: str, place: int) -> str:
    """Send a request as its caller would; return the outcome."""
    outcome = 'no answer'
    headers = {}
    if event['identity']:
        headers['Idempotency-Key'] = event['identity']
    for number in range(RESENDS_UNTIL_GIVEN_UP):
        live = [d for d in made.daemons if not d.ended()]
        daemon = live[(place + number) % len(live)]
        path = event['call'].split()[1]
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = daemon.call(
                f'/s/{event["service"]}{path}', body_of(event), key, headers
            )
            if answer.status == 200:
                return 'answered'
            outcome = answer.json()['error']['kind']
            if outcome in ('unauthorized', 'outcome_unknown'):
                return outcome
        time.sleep(PAUSE_S)
    return outcome


def replay(events: list[dict], folder: str) -> Verdict:
    """Replay a trace in its own time and judge every event."""
    verdict = Verdict()
    with cluster.cluster(folder) as made:
        keys = start(made, events)
        sent: list[tuple[dict, futures.Future]] = []
        began = time.monotonic()
        with futures.ThreadPoolExecutor(THREADS) as pool:
            for place, event in enumerate(events):
                pause = began + event['at'] - time.monotonic()
                time.sleep(max(pause, 0))
                if 'fault' in event:
                    bring_about(made, event['fault'], keys)
                    continue
                key = keys[event['workspace']]
                for number in range(1 + event['resends']):
                    task = pool.submit(send, made, event, key, place + number)
                    sent.append((event, task))
        judge(made, sent, verdict)
    return verdict


def judge(
    made: cluster.Cluster,
    sent: list[tuple[dict, futures.Future]],
    verdict: Verdict,
) -> None:
    """Hold every send against what its event states."""
    runs: dict[str, int] = {}
    for target in made.targets:
        for entry in target.log('run'):
            name = entry['body'].split(' ')[0]
            runs[name] = runs.get(name, 0) + 1
    for event, task in sent:
        told = task.result()
        if event['expected'] == 'runs once':
            count = runs.get(event['identity'], 0)
            good = count == 1 if told == 'answered' else count <= 1
            verdict.note(event, good, (told, count))
        else:
            verdict.note(event, told == event['expected'], told)


def read_trace(path: str) -> list[dict]:
    """Read the events of a trace file."""
    lines = pathlib.Path(path).read_text().splitlines()
    return [json.loads(line) for line in lines]


def main() -> None:
    """Replay the named traces; the exit code is 1 if one was broken."""
    broken = False
    for path in sys.argv[1:]:
        with tempfile.TemporaryDirectory() as folder:
            verdict = replay(read_trace(path), folder)
        print(f'{path}: {verdict.held} held, {len(verdict.broken)} broken')
        for line in verdict.broken:
            print(f'    {line}')
        broken = broken or bool(verdict.broken)
    sys.exit(broken)


if __name__ == '__main__':
    main()
