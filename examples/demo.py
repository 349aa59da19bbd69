"""The main job: every part of a deployment on this machine, for two minutes.

Starts the workshop's deployment as separate processes, serves interactive
load, orders and a training run through a weight change, withdraws a key,
kills a daemon, and prints a table of measures with their baselines.
"""

from concurrent import futures
import contextlib
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
from types import FrameType

from chestnutshunt_cli import operations
from chestnutshunt_cli import values
from chestnutshunt_standins import cluster
from examples import callers
from examples import measure_table

__all__ = ['main']

SEED = 20261204
TREE_FILE = pathlib.Path(__file__).with_name('workshop.toml')
ENGINES = {'marmara-a': 2, 'marmara-b': 2, 'ege-a': 1}
DAEMONS = {'marmara-a': 2, 'marmara-b': 2, 'ege-a': 2}
STEPS = 6
ORDERS = 120
LOAD_S = 14.0
IN_TIME_S = 0.5
MODEL = '/v1/generate'
MODEST = ('counter', 'stock')


def say(text: str) -> None:
    """Tell what happens."""
    print(text, flush=True)


def start(made: cluster.Cluster) -> dict[str, str]:
    """Start targets and daemons; return a key of each workspace."""
    for datacentre, count in ENGINES.items():
        for number in range(count):
            made.target(
                'engine',
                'recipe-model',
                datacentre,
                f'engine-{datacentre}-{number}',
                '--token-time',
                '0.01',
                '--slots',
                '4',
                cheap=number == 1,
            )
        app = made.target(
            'plain', 'workshop-app', datacentre, f'app-{datacentre}'
        )
        app.set_faults(delay=0.02)
    made.target('scorer', 'scores', 'marmara-a', 'scorer')
    operations.apply_nodes(made.client, values.read_tree_file(str(TREE_FILE)))
    for datacentre, count in DAEMONS.items():
        for number in range(count):
            made.daemon(
                f'{datacentre}-{number}',
                datacentre,
                heartbeat_s=1.0,
                lease_s=6.0,
                debug_steps=False,
                threads=96,
                log_level='WARNING',
            )
    made.wait_ready()
    names = ('counter', 'stock', 'partner', 'training')
    keys = {name: operations.create_key(made.client, name) for name in names}
    made.wait_config()
    return keys


def trainer(made: cluster.Cluster, run: str, key: str) -> cluster.Standin:
    """Start a trainer of a run."""
    return made.standin(
        'trainer',
        f'trainer-{run}',
        '--run',
        run,
        '--key',
        key,
        '--daemons',
        ','.join(daemon.caller for daemon in made.daemons),
        '--steps',
        str(STEPS),
        '--train-time',
        '0.5',
    )


def idle_share(training: cluster.Standin) -> float:
    """Return the share of its time that a trainer waited after step 1."""
    steps = training.log('step')[1:]
    idle = sum(event['idle'] for event in steps)
    return idle / (idle + 0.5 * len(steps))


def interactive(
    made: cluster.Cluster,
    keys: dict[str, str],
    direct: bool,
    seconds: float,
) -> dict[str, callers.Figures]:
    """Run callers of three workspaces, one of them greedy."""
    stop = threading.Event()
    choice = random.Random(SEED)
    engines = [x for x in made.targets if x.name.startswith('engine')]

    def address() -> str:
        if direct:
            return choice.choice(engines).address
        live = [d for d in made.daemons if not d.ended()]
        return choice.choice(live).caller

    path = MODEL if direct else f'/s/recipe-model{MODEL}'
    crews = {
        name: [
            callers.Caller(address, path, keys[name], stop, pause)
            for _ in range(count)
        ]
        for name, count, pause in (
            ('counter', 6, 0.05),
            ('stock', 6, 0.05),
            ('partner', 48, 0.0),
        )
    }
    everyone = [caller for crew in crews.values() for caller in crew]
    for caller in everyone:
        caller.start()
    stop.wait(seconds)
    stop.set()
    for caller in everyone:
        caller.join(20)
    return {name: merge(crew) for name, crew in crews.items()}


def merge(crew: list[callers.Caller]) -> callers.Figures:
    """Add up what the callers of a workspace saw."""
    total = callers.Figures()
    for caller in crew:
        total.latencies += caller.figures.latencies
        total.refused += caller.figures.refused
        total.broken += caller.figures.broken
    return total


def worst_against_mean(served: dict[str, callers.Figures]) -> float:
    """Return the worst-served workspace within its limits over the mean."""
    shares = [served[name].in_time(IN_TIME_S) for name in MODEST]
    mean = sum(shares) / len(shares)
    return min(shares) / mean if mean else 0.0


def place_orders(
    addresses: list[str], path: str, key: str, prefix: str
) -> list[str]:
    """Place orders as impatient partners do; return what each was told."""
    choice = random.Random(SEED)
    with futures.ThreadPoolExecutor(16) as pool:
        return list(
            pool.map(
                lambda number: callers.send_order(
                    addresses, path, key, f'{prefix}-{number}', choice
                ),
                range(ORDERS),
            )
        )


def runs_of(made: cluster.Cluster, prefix: str) -> dict[str, int]:
    """Return how often each order really ran, by the services' own logs."""
    counts: dict[str, int] = {}
    for app in made.targets:
        if not app.name.startswith('app'):
            continue
        for event in app.log('run'):
            if event['body'].startswith(prefix + '-'):
                counts[event['body']] = counts.get(event['body'], 0) + 1
    return counts


def withdraw(made: cluster.Cluster) -> float:
    """Withdraw a key; return the seconds until no daemon takes it."""
    token = operations.create_key(made.client, 'counter')
    made.wait_config()
    operations.withdraw_key(made.client, 'counter', token.split('.')[1])
    began = time.monotonic()
    for daemon in made.daemons:
        cluster.wait_until(
            lambda d=daemon: (
                d.ended()
                or d.call('/s/workshop-app/x', b'', token).status == 401
            ),
            'the key stops',
        )
    return time.monotonic() - began


def reports_wrong(made: cluster.Cluster) -> int:
    """Return the windows that were reported with different figures."""
    seen: dict[int, dict] = {}
    wrong = set()
    for event in made.platform.log('usage'):
        report = event['report']
        if seen.setdefault(report['window'], report) != report:
            wrong.add(report['window'])
    return len(wrong)


def run_all(made: cluster.Cluster, table: measure_table.MeasureTable) -> None:
    """Run the parts of the demo and fill the table."""
    say('starting 6 daemons, 5 engines, 3 apps, a scorer and the platform')
    keys = start(made)
    say('training, with interactive load and a greedy partner')
    training = trainer(made, 'coatings', keys['training'])
    served = interactive(made, keys, False, LOAD_S)
    cluster.wait_until(lambda: training.log('trained'), 'trained', 60)
    say('the same load sent to engines at random, as a baseline')
    plainly = interactive(made, keys, True, LOAD_S / 2)
    say('the same training and load without steps made ahead, as a baseline')
    on_demand = trainer(made, 'on-demand', keys['training'])
    interactive(made, keys, False, LOAD_S)
    cluster.wait_until(lambda: on_demand.log('trained'), 'trained', 60)
    say('orders from partners that resend at once, and a daemon killed')
    addresses = [daemon.caller for daemon in made.daemons]
    slow_app(made, 0.35)
    killer = threading.Timer(1.0, made.daemons[0].kill)
    killer.start()
    told = place_orders(
        addresses, '/s/workshop-app/orders', keys['stock'], 'order'
    )
    killer.join()
    apps = [x.address for x in made.targets if x.name.startswith('app')]
    place_orders(apps, '/orders', keys['stock'], 'plain')
    slow_app(made, 0.02)
    say('withdrawing a key')
    withdrawn = withdraw(made)
    fill(table, made, training, on_demand, served, plainly)
    fill_orders(table, made, told)
    table.add(
        'withdrawn key refused everywhere [s]',
        f'{withdrawn:.2f}',
        '',
        '<= 5',
        withdrawn <= 5,
    )
    wrong = reports_wrong(made)
    table.add('windows with two figures', str(wrong), '', '0', wrong == 0)


def slow_app(made: cluster.Cluster, delay: float) -> None:
    """Make one of the plain service's targets take a time to answer."""
    for app in made.targets:
        if app.name == 'app-marmara-a':
            app.set_faults(delay=delay)


def fill(
    table: measure_table.MeasureTable,
    made: cluster.Cluster,
    training: cluster.Standin,
    on_demand: cluster.Standin,
    served: dict[str, callers.Figures],
    plainly: dict[str, callers.Figures],
) -> None:
    """Add the measures of training and interactive load."""
    received = training.log('step')
    stale = max(event['staleness'] for event in received)
    names = [
        (s['step'], s['group'], s['index'])
        for event in received
        for s in event['samples']
    ]
    twice = len(names) - len(set(names))
    missing = STEPS * 16 - len(set(names))
    table.add(
        'trainer idle share, under load',
        f'{idle_share(training):.2f}',
        f'{idle_share(on_demand):.2f}',
    )
    table.add('oldest sample [versions]', str(stale), '', '<= 2', stale <= 2)
    table.add('samples twice', str(twice), '', '0', twice == 0)
    table.add('samples missing', str(missing), '', '0', missing == 0)
    table.add(
        'worst-served workspace against the mean',
        f'{worst_against_mean(served):.2f}',
        f'{worst_against_mean(plainly):.2f}',
    )
    for name in served:
        table.add(
            f'  {name}: answered within {IN_TIME_S:g} s',
            f'{served[name].in_time(IN_TIME_S):.1%}',
            f'{plainly[name].in_time(IN_TIME_S):.1%}',
        )
    broken = sum(figures.broken for figures in served.values())
    table.add('answers broken off', str(broken), '', '0', broken == 0)
    done = {
        x.name: len(x.log('finished'))
        for x in made.targets
        if x.name.startswith('engine')
    }
    cheap = sum(n for name, n in done.items() if name.endswith('-1'))
    table.add(
        'share of work on cheap targets',
        f'{cheap / max(sum(done.values()), 1):.1%}',
        '0.0%',
    )


def fill_orders(
    table: measure_table.MeasureTable,
    made: cluster.Cluster,
    told: list[str],
) -> None:
    """Add the measures of orders, by the services' own logs."""
    runs = runs_of(made, 'order')
    twice = sum(count > 1 for count in runs.values())
    plain = sum(count > 1 for count in runs_of(made, 'plain').values())
    false = sum(
        what == 'not run' and runs.get(f'order-{number}', 0) > 0
        for number, what in enumerate(told)
    )
    answered = told.count('answered')
    table.add('orders run twice', str(twice), str(plain), '0', twice == 0)
    table.add('false "not run"', str(false), '', '0', false == 0)
    table.add(f'orders answered, of {ORDERS}', str(answered))


def interrupt(number: int, frame: FrameType | None) -> None:
    """End the demo once, whatever else is sent meanwhile."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise KeyboardInterrupt


def main() -> None:
    """Run the demo; the exit code is 1 if a bound did not hold."""
    signal.signal(signal.SIGINT, interrupt)
    signal.signal(signal.SIGTERM, interrupt)
    table = measure_table.MeasureTable()
    began = time.monotonic()
    say(f'seed {SEED}')
    with contextlib.suppress(KeyboardInterrupt):
        with tempfile.TemporaryDirectory() as folder:
            with cluster.cluster(folder) as made:
                run_all(made, table)
        print(table.render())
        say(f'{time.monotonic() - began:.0f} s in all')
        sys.exit(table.failed())
    say('interrupted; all processes are ended')
    sys.exit(1)


if __name__ == '__main__':
    main()
