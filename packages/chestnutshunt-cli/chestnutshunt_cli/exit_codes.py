"""Exit codes of the command line."""

import enum

__all__ = ['ExitCode']


class ExitCode(enum.IntEnum):
    """What a script can tell from the exit code."""

    DONE = 0
    FAILED = 1
    REFUSED = 2
    CONFLICT = 3
    UNREACHABLE = 4
    DIFFERENT = 5
