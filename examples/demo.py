"""Two-minute demo of a whole deployment on this machine.

Starts the deployment of workshop.toml as separate processes, serves
interactive load, orders and a training run through a weight change, withdraws
a key, kills a daemon, and prints a table of measures with their baselines.
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
ENGINE_COUNTS = {'marmara-a': 2, 'marmara-b': 2, 'ege-a': 1}
DAEMON_COUNTS = {'marmara-a': 2, 'marmara-b': 2, 'ege-a': 2}
STEP_COUNT = 6
ORDER_COUNT = 120
LOAD_S = 14.0
IN_TIME_S = 0.5
MODEL_PATH = '/v1/generate'
WORKSPACES_WITHIN_LIMITS = ('counter', 'stock')


def print_progress(text: str) -> None:
    """Print a line of progress."""
    print(text, flush=True)


def start_deployment(deployment: cluster.Cluster) -> dict[str, str]:
    """Start targets and daemons; return a key of each workspace."""
    for datacentre, count in ENGINE_COUNTS.items():
        for number in range(count):
            deployment.target(
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
        app = deployment.target(
            'plain', 'workshop-app', datacentre, f'app-{datacentre}'
        )
        app.set_faults(delay=0.02)
    deployment.target('scorer', 'scores', 'marmara-a', 'scorer')
    operations.apply_nodes(
        deployment.client, values.read_tree_file(str(TREE_FILE))
    )
    for datacentre, count in DAEMON_COUNTS.items():
        for number in range(count):
            deployment.daemon(
                f'{datacentre}-{number}',
                datacentre,
                heartbeat_s=1.0,
                lease_s=6.0,
                debug_steps=False,
                threads=96,
                log_level='WARNING',
            )
    deployment.wait_ready()
    names = ('counter', 'stock', 'partner', 'training')
    keys = {
        name: operations.create_key(deployment.client, name) for name in names
    }
    deployment.wait_config()
    return keys


def start_trainer(
    deployment: cluster.Cluster, run: str, key: str
) -> cluster.Standin:
    """Start a trainer of a run."""
    return deployment.standin(
        'trainer',
        f'trainer-{run}',
        '--run',
        run,
        '--key',
        key,
        '--daemons',
        ','.join(daemon.caller for daemon in deployment.daemons),
        '--steps',
        str(STEP_COUNT),
        '--train-time',
        '0.5',
    )


def idle_share(training: cluster.Standin) -> float:
    """Return the share of its time that a trainer waited after step 1."""
    steps = training.log('step')[1:]
    idle = sum(event['idle'] for event in steps)
    return idle / (idle + 0.5 * len(steps))


def run_interactive_load(
    deployment: cluster.Cluster,
    keys: dict[str, str],
    direct: bool,
    seconds: float,
) -> dict[str, callers.CallerStats]:
    """Run callers of three workspaces; partner exceeds its limits."""
    stop = threading.Event()
    rng = random.Random(SEED)
    engines = [x for x in deployment.targets if x.name.startswith('engine')]

    def address() -> str:
        if direct:
            return rng.choice(engines).address
        live = [d for d in deployment.daemons if not d.ended()]
        return rng.choice(live).caller

    path = MODEL_PATH if direct else f'/s/recipe-model{MODEL_PATH}'
    callers_by_workspace = {
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
    all_callers = [
        caller for group in callers_by_workspace.values() for caller in group
    ]
    for caller in all_callers:
        caller.start()
    stop.wait(seconds)
    stop.set()
    for caller in all_callers:
        caller.join(20)
    return {
        name: merge_stats(group)
        for name, group in callers_by_workspace.items()
    }


def merge_stats(group: list[callers.Caller]) -> callers.CallerStats:
    """Sum the stats of a workspace's callers."""
    total = callers.CallerStats()
    for caller in group:
        total.latencies += caller.stats.latencies
        total.refused += caller.stats.refused
        total.broken += caller.stats.broken
    return total


def worst_to_mean_ratio(served: dict[str, callers.CallerStats]) -> float:
    """Return the lowest in-time share within limits over their mean."""
    shares = [
        served[name].share_within(IN_TIME_S)
        for name in WORKSPACES_WITHIN_LIMITS
    ]
    mean = sum(shares) / len(shares)
    return min(shares) / mean if mean else 0.0


def place_orders(
    addresses: list[str], path: str, key: str, prefix: str
) -> list[str]:
    """Place orders that are resent on a timeout; return each outcome."""
    rng = random.Random(SEED)
    with futures.ThreadPoolExecutor(16) as pool:
        return list(
            pool.map(
                lambda number: callers.send_order(
                    addresses, path, key, f'{prefix}-{number}', rng
                ),
                range(ORDER_COUNT),
            )
        )


def count_runs(deployment: cluster.Cluster, prefix: str) -> dict[str, int]:
    """Return how often each order ran, by the logs of the targets."""
    counts: dict[str, int] = {}
    for app in deployment.targets:
        if not app.name.startswith('app'):
            continue
        for event in app.log('run'):
            if event['body'].startswith(prefix + '-'):
                counts[event['body']] = counts.get(event['body'], 0) + 1
    return counts


def measure_key_withdrawal(deployment: cluster.Cluster) -> float:
    """Withdraw a key; return the seconds until every daemon refuses it."""
    token = operations.create_key(deployment.client, 'counter')
    deployment.wait_config()
    operations.withdraw_key(deployment.client, 'counter', token.split('.')[1])
    started_at = time.monotonic()
    for daemon in deployment.daemons:
        cluster.wait_until(
            lambda d=daemon: (
                d.ended()
                or d.call('/s/workshop-app/x', b'', token).status == 401
            ),
            'the withdrawn key is refused',
        )
    return time.monotonic() - started_at


def count_conflicting_reports(deployment: cluster.Cluster) -> int:
    """Return the number of windows reported with differing figures."""
    seen: dict[int, dict] = {}
    conflicting = set()
    for event in deployment.platform.log('usage'):
        report = event['report']
        if seen.setdefault(report['window'], report) != report:
            conflicting.add(report['window'])
    return len(conflicting)


def run_all(
    deployment: cluster.Cluster, table: measure_table.MeasureTable
) -> None:
    """Run all parts of the demo and fill the table."""
    print_progress(
        'starting 6 daemons, 5 engines, 3 apps, a scorer and the platform'
    )
    keys = start_deployment(deployment)
    print_progress('training, with interactive load and a greedy partner')
    training = start_trainer(deployment, 'coatings', keys['training'])
    served = run_interactive_load(deployment, keys, False, LOAD_S)
    cluster.wait_until(lambda: training.log('trained'), 'trained', 60)
    print_progress('the same load sent to engines at random, as a baseline')
    baseline = run_interactive_load(deployment, keys, True, LOAD_S / 2)
    print_progress(
        'the same training and load without steps made ahead, as a baseline'
    )
    on_demand = start_trainer(deployment, 'on-demand', keys['training'])
    run_interactive_load(deployment, keys, False, LOAD_S)
    cluster.wait_until(lambda: on_demand.log('trained'), 'trained', 60)
    print_progress(
        'orders from partners that resend at once, and a daemon killed'
    )
    addresses = [daemon.caller for daemon in deployment.daemons]
    set_app_delay(deployment, 0.35)
    killer = threading.Timer(1.0, deployment.daemons[0].kill)
    killer.start()
    outcomes = place_orders(
        addresses, '/s/workshop-app/orders', keys['stock'], 'order'
    )
    killer.join()
    apps = [x.address for x in deployment.targets if x.name.startswith('app')]
    place_orders(apps, '/orders', keys['stock'], 'plain')
    set_app_delay(deployment, 0.02)
    print_progress('withdrawing a key')
    withdrawal_s = measure_key_withdrawal(deployment)
    add_load_measures(table, deployment, training, on_demand, served, baseline)
    add_order_measures(table, deployment, outcomes)
    table.add(
        'withdrawn key refused everywhere [s]',
        f'{withdrawal_s:.2f}',
        '',
        '<= 5',
        withdrawal_s <= 5,
    )
    conflicts = count_conflicting_reports(deployment)
    table.add(
        'windows with two figures', str(conflicts), '', '0', conflicts == 0
    )


def set_app_delay(deployment: cluster.Cluster, delay: float) -> None:
    """Set the answer delay, in s, of one target of the plain service."""
    for app in deployment.targets:
        if app.name == 'app-marmara-a':
            app.set_faults(delay=delay)


def add_load_measures(
    table: measure_table.MeasureTable,
    deployment: cluster.Cluster,
    training: cluster.Standin,
    on_demand: cluster.Standin,
    served: dict[str, callers.CallerStats],
    baseline: dict[str, callers.CallerStats],
) -> None:
    """Add the measures of training and interactive load."""
    received = training.log('step')
    stale = max(event['staleness'] for event in received)
    names = [
        (s['step'], s['group'], s['index'])
        for event in received
        for s in event['samples']
    ]
    duplicates = len(names) - len(set(names))
    missing = STEP_COUNT * 16 - len(set(names))
    table.add(
        'trainer idle share, under load',
        f'{idle_share(training):.2f}',
        f'{idle_share(on_demand):.2f}',
    )
    table.add('oldest sample [versions]', str(stale), '', '<= 2', stale <= 2)
    table.add('samples twice', str(duplicates), '', '0', duplicates == 0)
    table.add('samples missing', str(missing), '', '0', missing == 0)
    table.add(
        'worst-served workspace against the mean',
        f'{worst_to_mean_ratio(served):.2f}',
        f'{worst_to_mean_ratio(baseline):.2f}',
    )
    for name in served:
        table.add(
            f'  {name}: answered within {IN_TIME_S:g} s',
            f'{served[name].share_within(IN_TIME_S):.1%}',
            f'{baseline[name].share_within(IN_TIME_S):.1%}',
        )
    broken = sum(figures.broken for figures in served.values())
    table.add('answers broken off', str(broken), '', '0', broken == 0)
    done = {
        x.name: len(x.log('finished'))
        for x in deployment.targets
        if x.name.startswith('engine')
    }
    cheap = sum(n for name, n in done.items() if name.endswith('-1'))
    table.add(
        'share of work on cheap targets',
        f'{cheap / max(sum(done.values()), 1):.1%}',
        '0.0%',
    )


def add_order_measures(
    table: measure_table.MeasureTable,
    deployment: cluster.Cluster,
    outcomes: list[str],
) -> None:
    """Add the measures of orders, by the logs of the targets."""
    runs = count_runs(deployment, 'order')
    duplicates = sum(count > 1 for count in runs.values())
    plain = sum(
        count > 1 for count in count_runs(deployment, 'plain').values()
    )
    false = sum(
        outcome == 'not run' and runs.get(f'order-{number}', 0) > 0
        for number, outcome in enumerate(outcomes)
    )
    answered = outcomes.count('answered')
    table.add(
        'orders run twice', str(duplicates), str(plain), '0', duplicates == 0
    )
    table.add('false "not run"', str(false), '', '0', false == 0)
    table.add(f'orders answered, of {ORDER_COUNT}', str(answered))


def interrupt(number: int, frame: FrameType | None) -> None:
    """Interrupt the demo; ignore further signals during the clean-up."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise KeyboardInterrupt


def main() -> None:
    """Run the demo; exit with 1 if a bound does not hold."""
    signal.signal(signal.SIGINT, interrupt)
    signal.signal(signal.SIGTERM, interrupt)
    table = measure_table.MeasureTable()
    started_at = time.monotonic()
    print_progress(f'seed {SEED}')
    with contextlib.suppress(KeyboardInterrupt):
        with tempfile.TemporaryDirectory() as folder:
            with cluster.cluster(folder) as deployment:
                run_all(deployment, table)
        print(table.render())
        print_progress(f'{time.monotonic() - started_at:.0f} s in all')
        sys.exit(table.failed())
    print_progress('interrupted; all processes are ended')
    sys.exit(1)


if __name__ == '__main__':
    main()
