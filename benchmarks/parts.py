"""In-process costs of library components, by size."""

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

# Duration of a platform write in the ledger measurement.
PLATFORM_DELAY_S = 0.005
REPEAT_COUNT = 20


def mean_duration(function) -> float:
    """Return the mean duration of a call in seconds, after a warm-up."""
    function()
    started_at = time.perf_counter()
    for _ in range(REPEAT_COUNT):
        function()
    return (time.perf_counter() - started_at) / REPEAT_COUNT


def make_entry(number: int) -> entry.Entry:
    """Return a ledger entry with a numbered identity."""
    return entry.Entry(
        f'{number:032x}',
        f'{number:016x}',
        'daemon-001/0123456789ab',
        '10.0.0.1:7100',
        f'{number:032x}',
        time.time() + 3600,
    )


def measure_ledger_batching() -> None:
    """Measure writes and waits of concurrent claims."""
    waits, writes = [], []
    for callers in (1, 8, 32):
        platform = memory_store.MemoryStore()
        original = platform.put

        def slow_put(*args, put=original):
            time.sleep(PLATFORM_DELAY_S)
            return put(*args)

        platform.put = slow_put
        log = shard_log.ShardLog(platform, system_clock.SystemClock(), 0)
        total = callers * 40
        started_at = time.perf_counter()
        with futures.ThreadPoolExecutor(callers) as pool:
            list(pool.map(log.claim, map(make_entry, range(total))))
        elapsed_s = time.perf_counter() - started_at
        waits.append((callers, elapsed_s / total * callers * 1e3))
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


def measure_ledger_take_over() -> None:
    """Measure time, data read and memory when a shard gets a new home."""
    seconds, megabytes, memory = [], [], []
    for size in (1_000, 5_000, 20_000):
        platform = memory_store.MemoryStore()
        clock = system_clock.SystemClock()
        log = shard_log.ShardLog(platform, clock, 0)
        log.ensure_view()
        for start in range(0, size, 20):
            log.append_segment(
                [make_entry(n) for n in range(start, start + 20)]
            )
        stored_bytes = sum(
            len(json.dumps(stored.value))
            for stored in platform.objects.values()
        )
        megabytes.append((size, stored_bytes / 1e6))
        tracemalloc.start()
        new_log = shard_log.ShardLog(platform, clock, 0)
        started_at = time.perf_counter()
        new_log.ensure_view()
        seconds.append((size, time.perf_counter() - started_at))
        memory.append((size, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
    shard = 50_000
    name = 'entries in a shard'
    fit.show('ledger: take-over of a shard', 's', seconds, shard, name)
    fit.show('ledger: bytes read by a new home', 'MB', megabytes, shard, name)
    fit.show('ledger: memory of a shard', 'MB', memory, shard, name)


def measure_heartbeat() -> None:
    """Measure the size of a heartbeat by its number of targets."""
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


def measure_tree() -> None:
    """Measure the memory of a settings tree and the time of its check."""
    seconds, memory = [], []
    for size in (100, 1_000, 5_000):
        tracemalloc.start()
        nodes = [
            node.Node.from_values(
                f'workspaces/w{n}', n + 1, {'requests_per_s': 5.0}
            )
            for n in range(size)
        ]
        settings_tree = tree.Tree.from_nodes(nodes)
        memory.append((size, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
        seconds.append((size, mean_duration(settings_tree.check) * 1e3))
    fit.show('configuration: memory of a tree', 'MB', memory, 5_000, 'nodes')
    fit.show('configuration: check of a tree', 'ms', seconds, 5_000, 'nodes')


def measure_share() -> None:
    """Measure one adjustment of a share record, and its size."""
    seconds, size_kb = [], []
    limit = share.Share(1000.0, 10_000.0, 400.0)
    for daemons in (10, 100, 340):
        shares = {
            f'daemon-{n:03d}/0123456789ab': share.Share(2.0, 20.0, 1.0)
            for n in range(daemons)
        }
        record = share_record.ShareRecord(shares, shares)
        owner = next(iter(shares))

        def adjust(record=record, owner=owner):
            decoded = share_record.ShareRecord.decode(record.encode())
            decoded.rebalanced(owner, limit, share.Share())

        seconds.append((daemons, mean_duration(adjust) * 1e3))
        size_kb.append((daemons, len(json.dumps(record.encode())) / 1e3))
    name = 'daemons that serve the workspace'
    fit.show('limits: one adjustment', 'ms', seconds, 340, name)
    fit.show('limits: record of a workspace', 'kB', size_kb, 340, name)


def measure_plan() -> None:
    """Measure planning the targets of a service."""
    points = []
    settings = datacentre_settings.DatacentreSettings()
    for size in (10, 100, 490):
        targets = [
            target.Target(f't{n}', 's', 'a', 'd', cheap=n % 2 == 0)
            for n in range(size)
        ]

        def run(targets=targets):
            plan.make_plan(targets, len(targets) * 5.0, 16, settings)

        points.append((size, mean_duration(run) * 1e3))
    fit.show(
        'fleet: one plan of a service',
        'ms',
        points,
        490,
        'targets of a data centre',
    )


def measure_sample() -> None:
    """Measure size and codec time of a sample by its tokens."""
    seconds, size_kb = [], []
    for tokens in (32, 256, 1024):
        rollout_sample = sample.Sample(
            sample_id.SampleId('coats', 1, 2, 3),
            'p' * 400,
            tuple('a1b2c3' for _ in range(tokens)),
            (version_range.VersionRange(7, 0, tokens),),
            0.5,
        )
        size_kb.append((tokens, len(rollout_sample.encode()) / 1e3))
        seconds.append(
            (
                tokens,
                mean_duration(
                    lambda s=rollout_sample: sample.Sample.decode(s.encode())
                )
                * 1e3,
            )
        )
    name = 'tokens in a sample'
    fit.show('rollout: bytes of a sample', 'kB', size_kb, 2_000, name)
    fit.show('rollout: coding of a sample', 'ms', seconds, 2_000, name)


def measure_usage() -> None:
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
                mean_duration(
                    lambda t=tallies: frozen_window.freeze(10, t, None)
                )
                * 1e3,
            )
        )
    name = 'daemons with 8 workspaces'
    fit.show('usage: frozen window', 'kB', size_kb, 340, name)
    fit.show('usage: working out a window', 'ms', seconds, 340, name)


def measure_parts() -> None:
    """Print all measurements of this module."""
    measure_ledger_batching()
    measure_ledger_take_over()
    measure_heartbeat()
    measure_tree()
    measure_share()
    measure_plan()
    measure_sample()
    measure_usage()
