"""Writes the example traces, one with the load of each deployment.

A trace holds JSON lines: ``at`` (s), ``workspace``, ``service``, ``call``,
``size`` (bytes or tokens), ``identity`` (empty for none), ``resends`` (extra
sends at the same time) and ``expected``; or ``at`` and ``fault``. Run with
``python -m examples.make_traces``.
"""

import json
import pathlib
import random

__all__ = ['main']

SEED = 20261204
FOLDER = pathlib.Path(__file__).with_name('traces')
LENGTH_S = 10.0


def lookup(at: float, workspace: str, rng: random.Random) -> dict:
    """Return a call to the engine service."""
    return {
        'at': at,
        'workspace': workspace,
        'service': 'model',
        'call': 'POST /v1/generate',
        'size': rng.choice([4, 8, 32]),
        'identity': '',
        'resends': 0,
        'expected': 'answered',
    }


def booking(
    at: float, workspace: str, number: int, rng: random.Random
) -> dict:
    """Return a call that must run once although its caller resends it."""
    return {
        'at': at,
        'workspace': workspace,
        'service': 'app',
        'call': 'POST /orders',
        'size': rng.randrange(20, 400),
        'identity': f'{workspace}-{number}',
        'resends': rng.choice([0, 0, 1, 3]),
        'expected': 'runs once',
    }


def workshop_night(rng: random.Random) -> list[dict]:
    """Lookups and resent stock orders, a platform outage, a daemon kill."""
    events: list[dict] = [
        {'at': 3.0, 'fault': 'platform down'},
        {'at': 5.5, 'fault': 'platform up'},
        {'at': 7.0, 'fault': 'kill a daemon'},
    ]
    for _ in range(50):
        at = round(rng.uniform(0, LENGTH_S), 2)
        events.append(lookup(at, rng.choice(['counter', 'stock']), rng))
    for number in range(30):
        at = round(rng.uniform(0, LENGTH_S), 2)
        events.append(booking(at, 'stock', number, rng))
    return events


def patitas_saturday(rng: random.Random) -> list[dict]:
    """Bookings with a peak in mid-trace, captions, a withdrawn key."""
    events: list[dict] = [
        {'at': 4.0, 'fault': 'lose 3 replies'},
        {'at': 5.0, 'fault': 'withdraw partner'},
    ]
    for number in range(90):
        at = round(min(max(rng.gauss(5.0, 1.2), 0), LENGTH_S), 2)
        events.append(booking(at, 'studio', number, rng))
    for _ in range(60):
        at = round(rng.uniform(0, LENGTH_S), 2)
        events.append(lookup(at, 'gallery', rng))
    for _ in range(10):
        after_withdrawal = lookup(
            round(rng.uniform(7, LENGTH_S), 2), 'partner', rng
        )
        events.append({**after_withdrawal, 'expected': 'unauthorized'})
    return events


def main() -> None:
    """Write both traces."""
    FOLDER.mkdir(exist_ok=True)
    for make in (workshop_night, patitas_saturday):
        events = sorted(
            make(random.Random(SEED)), key=lambda event: event['at']
        )
        text = ''.join(json.dumps(event) + '\n' for event in events)
        (FOLDER / f'{make.__name__}.jsonl').write_text(text)


if __name__ == '__main__':
    main()
