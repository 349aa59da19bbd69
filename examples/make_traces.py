"""Makes the example traces, one shaped like each deployment.

A trace is JSON lines: ``at`` (s), ``workspace``, ``service``, ``call``,
``size`` (bytes or tokens), ``identity`` (empty for none), ``resends`` (sends
more, at once) and ``expected``; or ``at`` and ``fault``. Run with
``python -m examples.make_traces``.
"""

import json
import pathlib
import random

__all__ = ['main']

SEED = 20261204
FOLDER = pathlib.Path(__file__).with_name('traces')
LENGTH_S = 10.0


def lookup(at: float, workspace: str, order: random.Random) -> dict:
    """Return a call to the engine."""
    return {
        'at': at,
        'workspace': workspace,
        'service': 'model',
        'call': 'POST /v1/generate',
        'size': order.choice([4, 8, 32]),
        'identity': '',
        'resends': 0,
        'expected': 'answered',
    }


def booking(
    at: float, workspace: str, number: int, order: random.Random
) -> dict:
    """Return a call that may not be repeated, resent by its caller."""
    return {
        'at': at,
        'workspace': workspace,
        'service': 'app',
        'call': 'POST /orders',
        'size': order.randrange(20, 400),
        'identity': f'{workspace}-{number}',
        'resends': order.choice([0, 0, 1, 3]),
        'expected': 'runs once',
    }


def workshop_night(order: random.Random) -> list[dict]:
    """Few lookups, stock checks with resends, an outage nobody watches."""
    events: list[dict] = [
        {'at': 3.0, 'fault': 'platform down'},
        {'at': 5.5, 'fault': 'platform up'},
        {'at': 7.0, 'fault': 'kill a daemon'},
    ]
    for _ in range(50):
        at = round(order.uniform(0, LENGTH_S), 2)
        events.append(lookup(at, order.choice(['counter', 'stock']), order))
    for number in range(30):
        at = round(order.uniform(0, LENGTH_S), 2)
        events.append(booking(at, 'stock', number, order))
    return events


def patitas_saturday(order: random.Random) -> list[dict]:
    """Bookings that crowd at noon, captions, a withdrawn key."""
    events: list[dict] = [
        {'at': 4.0, 'fault': 'lose 3 replies'},
        {'at': 5.0, 'fault': 'withdraw partner'},
    ]
    for number in range(90):
        at = round(min(max(order.gauss(5.0, 1.2), 0), LENGTH_S), 2)
        events.append(booking(at, 'studio', number, order))
    for _ in range(60):
        at = round(order.uniform(0, LENGTH_S), 2)
        events.append(lookup(at, 'gallery', order))
    for _ in range(10):
        late = lookup(round(order.uniform(7, LENGTH_S), 2), 'partner', order)
        events.append({**late, 'expected': 'unauthorized'})
    return events


def main() -> None:
    """Write both traces."""
    FOLDER.mkdir(exist_ok=True)
    for make in (workshop_night, patitas_saturday):
        events = sorted(make(random.Random(SEED)), key=lambda e: e['at'])
        text = ''.join(json.dumps(event) + '\n' for event in events)
        (FOLDER / f'{make.__name__}.jsonl').write_text(text)


if __name__ == '__main__':
    main()
