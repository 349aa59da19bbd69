"""Prints the fault matrix: a verdict for each test, fault and step.

Runs the tests in tests/faults. A passed test is printed as ``held``, a failed
one as ``BROKEN`` and a skipped one as ``not run``.
"""

import collections
import sys

import pytest

__all__ = ['main']


class Collector:
    """Collects the verdict of each test."""

    def __init__(self) -> None:
        self.verdicts: dict[str, str] = {}

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the worst verdict of a test's phases."""
        name = report.nodeid.removeprefix('tests/faults/')
        if report.failed:
            self.verdicts[name] = 'BROKEN'
        elif report.when == 'call':
            self.verdicts.setdefault(name, 'held')
        elif report.skipped:
            self.verdicts.setdefault(name, 'not run')


def main() -> None:
    """Run the tests and print the matrix."""
    collector = Collector()
    code = pytest.main(
        ['-q', '-p', 'no:logging', 'tests/faults', *sys.argv[1:]],
        plugins=[collector],
    )
    print(f'\n{"path and test":62}{"case":32}verdict')
    for name, verdict in collector.verdicts.items():
        test, _, case = name.partition('[')
        test = test.replace('.py::test_', ': ')
        print(f'{test:62}{case.rstrip("]"):32}{verdict}')
    counts = collections.Counter(collector.verdicts.values())
    print(', '.join(f'{count} {name}' for name, count in counts.items()))
    sys.exit(int(code))


if __name__ == '__main__':
    main()
