"""Cost of idle daemons, and how fast a change reaches them, by peers."""

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
CHANGES = 10
TICKS = os.sysconf('SC_CLK_TCK')
PAGE = os.sysconf('SC_PAGE_SIZE')


@attrs.frozen
class MeshFigures:
    """Means for each daemon of one size.

    Attributes
    ----------
    peers : int
        Other daemons of the data centre.
    core_share : float
        Processor time a second, in percent of a core.
    memory_mb : float
        Resident memory.
    wire_kb : float
        Kilobytes sent and received a second, over all links.
    platform_calls : float
        Calls of the platform a second, of the whole data centre.
    spread_s : float
        Longest time until a change was in force everywhere.
    """

    peers: int
    core_share: float
    memory_mb: float
    wire_kb: float
    platform_calls: float
    spread_s: float


def measure_mesh(peers: int) -> MeshFigures:
    """Run daemons that have nothing to do and measure them."""
    with cluster.cluster(tempfile.mkdtemp()) as made:
        made.editor.set('services/look', {})
        made.workspace('one')
        for number in range(peers + 1):
            made.daemon(
                f'd{number:03d}',
                debug_steps=False,
                heartbeat_s=1.0,
                lease_s=6.0,
                threads=16,
                log_level='WARNING',
            )
        made.wait_ready()
        time.sleep(SETTLE_S)
        before = reading(made)
        time.sleep(MEASURE_S)
        after = reading(made)
        spread = max(measure_spread(made, n) for n in range(CHANGES))
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
    """Counters at one moment, summed over the daemons."""

    at: float
    cpu: float
    memory: float
    wire: float
    calls: float


def reading(made: cluster.Cluster) -> Reading:
    """Read the counters of the kernel and of the platform."""
    pids = [daemon.child.pid for daemon in made.daemons]
    counts = cluster.HTTP.request('GET', made.platform_url + '/counts')
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
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * PAGE


def loopback_bytes() -> int:
    """Return the bytes sent over the loopback link, headers included."""
    for line in pathlib.Path('/proc/net/dev').read_text().splitlines():
        name, _, fields = line.partition(':')
        if name.strip() == 'lo':
            return int(fields.split()[8])
    raise RuntimeError('there is no loopback link')


def measure_spread(made: cluster.Cluster, number: int) -> float:
    """Return the seconds until a change is in force in every daemon."""
    node = made.editor.set('services/look', {'timeout_s': 5.0 + number})
    began = time.monotonic()
    pool = urllib3.PoolManager(retries=False)
    for daemon in made.daemons:
        while True:
            answer = pool.request('GET', f'http://{daemon.admin}/dump')
            if answer.json()['config']['revision'] >= node.version:
                break
            time.sleep(0.005)
    return time.monotonic() - began
