"""Costs of the library's parts by size, measured in this process."""

from concurrent import futures
import json
import time
import tracemalloc

from benchmarks import fit
from chestnutshunt.admission import share
from chestnutshunt.admission import share_record
from chestnutshunt.config import datacentre_settings
from chestnutshunt.config import node
from chestnutshunt.config import tree
from chestnutshunt.fleet import plan
from chestnutshunt.ledger import entry
from chestnutshunt.ledger import shard_log
from chestnutshunt.rollout import sample
from chestnutshunt.rollout import sample_id
from chestnutshunt.rollout import version_range
from chestnutshunt.routing import target
from chestnutshunt.store import memory_store
from chestnutshunt import system_clock
from chestnutshunt.usage import count
from chestnutshunt.usage import frozen_window
from chestnutshunt.usage import tally_key
from chestnutshunt_daemon.wire import peer_pb2

__all__ = ['measure_parts']

PLATFORM_DELAY = 0.005
"""Seconds a call of the platform takes in the ledger's measurement."""

REPEATS = 20


def timed(run) -> float:
    """Return the mean seconds of a call."""
    run()
    began = time.perf_counter()
    for _ in range(REPEATS):
        run()
    return (time.perf_counter() - began) / REPEATS


def make_entry(number: int) -> entry.Entry:
    """Return a claim."""
    return entry.Entry(
        f'{number:032x}',
        f'{number:016x}',
        'daemon-001/0123456789ab',
        '10.0.0.1:7100',
        f'{number:032x}',
        time.time() + 3600,
    )


def ledger_batching() -> None:
    """Measure writes and waits of claims made at one time."""
    waits, writes = [], []
    for callers in (1, 8, 32):
        platform = memory_store.MemoryStore()
        original = platform.put

        def slow_put(*args, put=original):
            time.sleep(PLATFORM_DELAY)
            return put(*args)

        platform.put = slow_put
        log = shard_log.ShardLog(platform, system_clock.SystemClock(), 0)
        total = callers * 40
        began = time.perf_counter()
        with futures.ThreadPoolExecutor(callers) as pool:
            list(pool.map(log.claim, map(make_entry, range(total))))
        span = time.perf_counter() - began
        waits.append((callers, span / total * callers * 1e3))
        writes.append((callers, log.writes / total))
    fit.show(
        'ledger: wait of a claim, calls of 5 ms',
        'ms',
        waits,
        14,
        'claims at one time in a shard',
    )
    print(
        'ledger: writes for each claim [1]\n    measured '
        + ', '.join(f'{x}: {y:.3f}' for x, y in writes)
    )


def ledger_take_over() -> None:
    """Measure what a new home of a shard has to read."""
    seconds, megabytes, memory = [], [], []
    for size in (1_000, 5_000, 20_000):
        platform = memory_store.MemoryStore()
        clock = system_clock.SystemClock()
        log = shard_log.ShardLog(platform, clock, 0)
        log.ensure_view()
        for start in range(0, size, 20):
            log.append([make_entry(n) for n in range(start, start + 20)])
        stored = sum(
            len(json.dumps(held.value)) for held in platform.objects.values()
        )
        megabytes.append((size, stored / 1e6))
        tracemalloc.start()
        fresh = shard_log.ShardLog(platform, clock, 0)
        began = time.perf_counter()
        fresh.ensure_view()
        seconds.append((size, time.perf_counter() - began))
        memory.append((size, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
    shard = 50_000
    name = 'entries in a shard'
    fit.show('ledger: take-over of a shard', 's', seconds, shard, name)
    fit.show('ledger: bytes read by a new home', 'MB', megabytes, shard, name)
    fit.show('ledger: memory of a shard', 'MB', memory, shard, name)


def heartbeat_bytes() -> None:
    """Measure the size of a heartbeat by the targets it counts."""
    points = []
    for size in (0, 50, 250):
        frame = peer_pb2.Frame(
            name='daemon-001',
            incarnation='0123456789ab',
            datacentre='marmara-a',
            address='10.0.0.1:7100',
            admin_address='10.0.0.1:7200',
            revision=123456,
            platform_age_ms=700,
        )
        for number in range(size):
            frame.counts.add(target=f'engine-{number:04d}', in_flight=3)
        points.append((size, frame.ByteSize()))
    fit.show(
        'load view: bytes of a heartbeat',
        'B',
        points,
        26,
        'targets with requests of this daemon',
    )


def tree_cost() -> None:
    """Measure building and keeping a tree."""
    seconds, memory = [], []
    for size in (100, 1_000, 5_000):
        tracemalloc.start()
        nodes = [
            node.Node.from_values(
                f'workspaces/w{n}', n + 1, {'requests_per_s': 5.0}
            )
            for n in range(size)
        ]
        made = tree.Tree.from_nodes(nodes)
        memory.append((size, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
        seconds.append((size, timed(made.check) * 1e3))
    fit.show('configuration: memory of a tree', 'MB', memory, 5_000, 'nodes')
    fit.show('configuration: check of a tree', 'ms', seconds, 5_000, 'nodes')


def share_cost() -> None:
    """Measure one adjustment of a workspace's shares."""
    seconds, size_kb = [], []
    limit = share.Share(1000.0, 10_000.0, 400.0)
    for daemons in (10, 100, 340):
        held = {
            f'daemon-{n:03d}/0123456789ab': share.Share(2.0, 20.0, 1.0)
            for n in range(daemons)
        }
        record = share_record.ShareRecord(held, held)
        owner = next(iter(held))

        def adjust(record=record, owner=owner):
            decoded = share_record.ShareRecord.decode(record.encode())
            decoded.moved(owner, limit, share.Share())

        seconds.append((daemons, timed(adjust) * 1e3))
        size_kb.append((daemons, len(json.dumps(record.encode())) / 1e3))
    name = 'daemons that serve the workspace'
    fit.show('limits: one adjustment', 'ms', seconds, 340, name)
    fit.show('limits: record of a workspace', 'kB', size_kb, 340, name)


def plan_cost() -> None:
    """Measure one plan of a service."""
    points = []
    settings = datacentre_settings.DatacentreSettings()
    for size in (10, 100, 490):
        targets = [
            target.Target(f't{n}', 's', 'a', 'd', cheap=n % 2 == 0)
            for n in range(size)
        ]

        def run(targets=targets):
            plan.make_plan(targets, len(targets) * 5.0, 16, settings)

        points.append((size, timed(run) * 1e3))
    fit.show(
        'fleet: one plan of a service',
        'ms',
        points,
        490,
        'targets of a data centre',
    )


def sample_cost() -> None:
    """Measure bytes and coding time of a sample by its tokens."""
    seconds, size_kb = [], []
    for tokens in (32, 256, 1024):
        made = sample.Sample(
            sample_id.SampleId('coats', 1, 2, 3),
            'p' * 400,
            tuple('a1b2c3' for _ in range(tokens)),
            (version_range.VersionRange(7, 0, tokens),),
            0.5,
        )
        size_kb.append((tokens, len(made.encode()) / 1e3))
        seconds.append(
            (
                tokens,
                timed(lambda m=made: sample.Sample.decode(m.encode())) * 1e3,
            )
        )
    name = 'tokens in a sample'
    fit.show('rollout: bytes of a sample', 'kB', size_kb, 2_000, name)
    fit.show('rollout: coding of a sample', 'ms', seconds, 2_000, name)


def usage_cost() -> None:
    """Measure a frozen window by the daemons that count."""
    seconds, size_kb = [], []
    for daemons in (10, 100, 340):
        tallies = {
            tally_key.TallyKey(
                window, f'daemon-{n:03d}/0123456789ab', f'workspace-{w}'
            ): count.Count(100, 20_000)
            for window in (8, 9, 10)
            for n in range(daemons)
            for w in range(8)
        }
        frozen = frozen_window.freeze(10, tallies, None)
        size_kb.append((daemons, len(json.dumps(frozen.encode())) / 1e3))
        seconds.append(
            (
                daemons,
                timed(lambda t=tallies: frozen_window.freeze(10, t, None))
                * 1e3,
            )
        )
    name = 'daemons with 8 workspaces'
    fit.show('usage: frozen window', 'kB', size_kb, 340, name)
    fit.show('usage: working out a window', 'ms', seconds, 340, name)


def measure_parts() -> None:
    """Print all measurements of this module."""
    ledger_batching()
    ledger_take_over()
    heartbeat_bytes()
    tree_cost()
    share_cost()
    plan_cost()
    sample_cost()
    usage_cost()
