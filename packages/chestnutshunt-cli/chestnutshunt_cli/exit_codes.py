"""Exit codes of the command line."""

import enum
import functools

import urllib3

from chestnutshunt import errors

__all__ = ['ExitCode', 'exit_code_of']


class ExitCode(enum.IntEnum):
    """Exit codes by which scripts tell results apart."""

    DONE = 0
    FAILED = 1
    REFUSED = 2
    CONFLICT = 3
    UNREACHABLE = 4
    DIFFERENT = 5


@functools.singledispatch
def exit_code_of(error: Exception) -> ExitCode:
    """Return the exit code for an error."""
    return ExitCode.FAILED


@exit_code_of.register(errors.ConfigConflict)
def exit_code_of_conflict(error: Exception) -> ExitCode:
    """Return the exit code for a conditional write that failed."""
    return ExitCode.CONFLICT


@exit_code_of.register(errors.PlatformUnavailable)
@exit_code_of.register(errors.PlatformUncertain)
@exit_code_of.register(urllib3.exceptions.HTTPError)
def exit_code_of_unreachable(error: Exception) -> ExitCode:
    """Return the exit code for a platform or daemon without answer."""
    return ExitCode.UNREACHABLE


@exit_code_of.register(errors.BadRequest)
@exit_code_of.register(errors.BadSetting)
@exit_code_of.register(errors.RouteUnknown)
def exit_code_of_refusal(error: Exception) -> ExitCode:
    """Return the exit code for input that was refused."""
    return ExitCode.REFUSED
