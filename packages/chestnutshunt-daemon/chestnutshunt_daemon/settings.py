"""Settings of one daemon, read from a TOML file and validated."""

import difflib
import pathlib
import tomllib
from typing import Any

import attrs

from chestnutshunt import errors

__all__ = [
    'DaemonSettings',
    'address_unavailable',
    'at_least',
    'build_checked',
    'load_settings',
    'one_of',
    'read_table',
]

# Memory that a daemon needs beside what its clients hold.
BASE_MEMORY_MB = 90

FILE_REMEDY = 'Give the path of a TOML file.'


def check_address(
    instance: Any, attribute: attrs.Attribute, value: str
) -> None:
    """Validate an ``IP:PORT`` address with a port from 1 to 65535."""
    host, _, port = value.rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError('Write IP:PORT, such as 127.0.0.1:7100.')


def at_least(minimum: float, or_zero: bool = False) -> Any:
    """Return a validator of a lower bound, below which 0 may be allowed."""

    def check(instance: Any, attribute: attrs.Attribute, value: float) -> None:
        if value < minimum and not (or_zero and value == 0):
            alternative = ', or 0' if or_zero else ''
            raise ValueError(
                f'Write a value of at least {minimum}{alternative}.'
            )

    return check


def one_of(*choices: str) -> Any:
    """Return a validator of a choice."""

    def check(instance: Any, attribute: attrs.Attribute, value: str) -> None:
        if value not in choices:
            raise ValueError(f'Write one of {", ".join(choices)}.')

    return check


@attrs.frozen
class DaemonSettings:
    """Names, addresses and limits of one daemon.

    Attributes
    ----------
    name : str
        Unique name of the daemon.
    datacentre : str
        Data centre it runs in.
    caller_address, peer_address, admin_address : str
        ``IP:PORT`` for callers, other daemons and operators.
    platform_url : str
        Base URL of the platform's store.
    duty_url : str
        Base URL for usage reports; empty if that of the store takes them.
    seeds : list of str
        Peer addresses to ask when the platform does not answer.
    data_folder : str
        Folder for the bytes of steps; empty to keep them in memory.
    threads : int
        Caller connections served at one time.
    memory_mb : int
        Memory of the VM that the daemon may use, in MB.
    heartbeat_s : float
        Seconds between heartbeats to a peer.
    lease_s : float
        Seconds a duty's lease lasts without renewal.
    log_format, log_level : str
        ``text`` or ``json``, and a level of the logging module.
    debug_steps : bool
        Enables the gates at which tests pause the daemon.
    """

    name: str
    datacentre: str
    caller_address: str = attrs.field(validator=check_address)
    peer_address: str = attrs.field(validator=check_address)
    admin_address: str = attrs.field(validator=check_address)
    platform_url: str
    duty_url: str = ''
    seeds: list[str] = attrs.field(factory=list)
    data_folder: str = ''
    threads: int = attrs.field(default=128, validator=at_least(4))
    memory_mb: int = attrs.field(default=256, validator=at_least(128))
    heartbeat_s: float = attrs.field(default=1.0, validator=at_least(0.05))
    lease_s: float = attrs.field(default=6.0, validator=at_least(0.5))
    log_format: str = attrs.field(
        default='text', validator=one_of('text', 'json')
    )
    log_level: str = attrs.field(
        default='INFO',
        validator=one_of('DEBUG', 'INFO', 'WARNING', 'ERROR'),
    )
    debug_steps: bool = False

    @property
    def client_memory_bytes(self) -> int:
        """Memory for all that callers and operators hold together."""
        return (self.memory_mb - BASE_MEMORY_MB) * 1_000_000


def load_settings(path: str) -> DaemonSettings:
    """Read and check a settings file.

    Raises
    ------
    BadSetting
        Names the file, the setting, the value and the remedy.
    """
    return build_checked(path, read_table(path), DaemonSettings)


def address_unavailable(
    location: str, name: str, value: str
) -> errors.BadSetting:
    """Return the error for an address that cannot be bound."""
    return errors.BadSetting(
        location,
        name,
        value,
        'cannot be listened on',
        'Choose an address that is free on this VM.',
    )


def read_table(path: str) -> dict[str, Any]:
    """Read a TOML file, or raise `BadSetting`."""
    try:
        return tomllib.loads(pathlib.Path(path).read_text())
    except OSError as exc:
        reason = f'cannot be read ({exc.strerror})'
        raise errors.BadSetting(
            path, 'file', path, reason, FILE_REMEDY
        ) from exc
    except ValueError as exc:
        raise errors.BadSetting(
            path, 'file', path, f'is not TOML ({exc})', FILE_REMEDY
        ) from exc


def build_checked(path: str, values: dict[str, Any], kind: type) -> Any:
    """Validate a table and build settings, or raise `BadSetting`."""
    fields = {item.name: item for item in attrs.fields(kind)}
    for name, value in values.items():
        if name not in fields:
            matches = difflib.get_close_matches(name, fields, 1)
            hint = f'Did you mean {matches[0]!r}?' if matches else 'Remove it.'
            raise errors.BadSetting(path, name, value, 'unknown setting', hint)
        check_type(path, fields[name], value)
    for name, item in fields.items():
        if item.default is attrs.NOTHING and name not in values:
            raise errors.BadSetting(
                path, name, None, 'missing', f'Add {name} = VALUE.'
            )
    return build(path, values, kind)


def check_type(path: str, item: attrs.Attribute, value: Any) -> None:
    """Raise `BadSetting` for a value of the wrong type."""
    allowed = {
        str: (str,),
        int: (int,),
        bool: (bool,),
        float: (int, float),
        dict[str, str]: (dict,),
    }.get(item.type, (list,))
    if type(value) not in allowed:
        remedy = f'Write a value of type {allowed[-1].__name__}.'
        raise errors.BadSetting(path, item.name, value, 'wrong type', remedy)


def build(path: str, values: dict[str, Any], kind: type) -> Any:
    """Run each validator, so that an error names its setting, and build."""
    for item in attrs.fields(kind):
        if item.name not in values or item.validator is None:
            continue
        try:
            item.validator(None, item, values[item.name])
        except ValueError as exc:
            raise errors.BadSetting(
                path, item.name, values[item.name], 'not allowed', str(exc)
            ) from exc
    return kind(**values)
