"""Measures how costs grow with size, for docs/CAPACITY.md."""

from benchmarks import fit
from benchmarks import mesh
from benchmarks import parts

__all__ = ['main']

PEER_COUNTS = (2, 8, 26)


def main() -> None:
    """Print all measurements with their fitted lines."""
    figures = [mesh.measure_mesh(peers) for peers in PEER_COUNTS]
    name = 'peers of a data centre'
    rows = (
        ('idle daemon: processor time', '% of a core', 'core_share'),
        ('idle daemon: memory', 'MB', 'memory_mb'),
        ('idle daemon: wire, both ways', 'KB/s', 'wire_kb'),
        ('platform calls of an idle data centre', '1/s', 'platform_calls'),
        ('change in force everywhere, slowest of 10', 's', 'spread_s'),
    )
    for title, unit, field in rows:
        points = [(x.peers, getattr(x, field)) for x in figures]
        fit.show(title, unit, points, PEER_COUNTS[-1], name)
    parts.measure_parts()


if __name__ == '__main__':
    main()
