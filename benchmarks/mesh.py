"""Cost of idle daemons and propagation time of a change, by peer count."""

import os
import pathlib
import tempfile
import time

import attrs
import urllib3

from chestnutshunt_standins import cluster

__all__ = ['MeshFigures', 'measure_mesh']

SETTLE_S = 4.0
MEASURE_S = 12.0
CHANGE_COUNT = 10
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


@attrs.frozen
class MeshFigures:
    """Costs and delays in a data centre of one size.

    Attributes
    ----------
    peers : int
        Other daemons of the data centre.
    core_share : float
        Processor time of a daemon, in percent of a core.
    memory_mb : float
        Resident memory of a daemon, in MB.
    wire_kb : float
        Data sent and received by a daemon over all links, in kB/s.
    platform_calls : float
        Platform calls of the whole data centre, in 1/s.
    spread_s : float
        Longest time until a change was in force in every daemon.
    """

    peers: int
    core_share: float
    memory_mb: float
    wire_kb: float
    platform_calls: float
    spread_s: float


def measure_mesh(peers: int) -> MeshFigures:
    """Start idle daemons and measure them."""
    with cluster.cluster(tempfile.mkdtemp()) as deployment:
        deployment.editor.set('services/look', {})
        deployment.workspace('one')
        for number in range(peers + 1):
            deployment.daemon(
                f'd{number:03d}',
                debug_steps=False,
                heartbeat_s=1.0,
                lease_s=6.0,
                threads=16,
                log_level='WARNING',
            )
        deployment.wait_ready()
        time.sleep(SETTLE_S)
        before = read_counters(deployment)
        time.sleep(MEASURE_S)
        after = read_counters(deployment)
        spread = max(
            measure_spread(deployment, n) for n in range(CHANGE_COUNT)
        )
        count = peers + 1
        span = after.at - before.at
        return MeshFigures(
            peers,
            (after.cpu - before.cpu) / span / count * 100,
            after.memory / count / 1e6,
            2 * (after.wire - before.wire) / span / count / 1e3,
            (after.calls - before.calls) / span,
            spread,
        )


@attrs.frozen
class Reading:
    """Counters at one instant, summed over the daemons."""

    at: float
    cpu: float
    memory: float
    wire: float
    calls: float


def read_counters(deployment: cluster.Cluster) -> Reading:
    """Read the counters of the kernel and of the platform."""
    pids = [daemon.child.pid for daemon in deployment.daemons]
    counts = cluster.HTTP.request('GET', deployment.platform_url + '/counts')
    return Reading(
        time.monotonic(),
        sum(cpu_seconds(pid) for pid in pids),
        sum(resident_bytes(pid) for pid in pids),
        loopback_bytes(),
        sum(counts.json().values()),
    )


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * PAGE_BYTES


def loopback_bytes() -> int:
    """Return the bytes sent over the loopback interface, with headers."""
    for line in pathlib.Path('/proc/net/dev').read_text().splitlines():
        name, _, fields = line.partition(':')
        if name.strip() == 'lo':
            return int(fields.split()[8])
    raise RuntimeError('/proc/net/dev lists no loopback interface')


def measure_spread(deployment: cluster.Cluster, number: int) -> float:
    """Return the seconds until a change is in force in every daemon."""
    node = deployment.editor.set('services/look', {'timeout_s': 5.0 + number})
    started_at = time.monotonic()
    pool = urllib3.PoolManager(retries=False)
    for daemon in deployment.daemons:
        while True:
            answer = pool.request('GET', f'http://{daemon.admin}/dump')
            if answer.json()['config']['revision'] >= node.version:
                break
            time.sleep(0.005)
    return time.monotonic() - started_at
