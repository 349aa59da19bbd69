"""Measures the slopes that docs/CAPACITY.md works with."""

from benchmarks import fit
from benchmarks import mesh
from benchmarks import parts

__all__ = ['main']

PEERS = (2, 8, 26)


def main() -> None:
    """Measure and print."""
    figures = [mesh.measure_mesh(peers) for peers in PEERS]
    name = 'peers of a data centre'
    rows = (
        ('idle daemon: processor time', '% of a core', 'core_share'),
        ('idle daemon: memory', 'MB', 'memory_mb'),
        ('idle daemon: wire, both ways', 'KB/s', 'wire_kb'),
        ('platform calls of an idle data centre', '1/s', 'platform_calls'),
        ('change in force everywhere, slowest of 10', 's', 'spread_s'),
    )
    for what, unit, field in rows:
        points = [(x.peers, getattr(x, field)) for x in figures]
        fit.show(what, unit, points, PEERS[-1], name)
    parts.measure_parts()


if __name__ == '__main__':
    main()
