"""Settings of one daemon, read from a checked TOML file."""

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

FILE_REMEDY = 'Give the path of a TOML file.'


def address(instance: Any, attribute: attrs.Attribute, value: str) -> None:
    """Check an ``IP:PORT`` address."""
    host, _, port = value.rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError('Write IP:PORT, such as 127.0.0.1:7100.')


def at_least(minimum: float) -> Any:
    """Return a validator of a lower bound."""

    def check(instance: Any, attribute: attrs.Attribute, value: float) -> None:
        if value < minimum:
            raise ValueError(f'Write a value of at least {minimum}.')

    return check


def one_of(*choices: str) -> Any:
    """Return a validator of a choice."""

    def check(instance: Any, attribute: attrs.Attribute, value: str) -> None:
        if value not in choices:
            raise ValueError(f'Write one of {", ".join(choices)}.')

    return check


@attrs.frozen
class DaemonSettings:
    """Where a daemon is, what it reaches and how much it takes on.

    Attributes
    ----------
    name : str
        Unique name of the daemon.
    datacentre : str
        Data centre it runs in.
    caller_address, peer_address, admin_address : str
        ``IP:PORT`` for callers, other daemons and operators.
    platform_url : str
        Base address of the platform's store.
    duty_url : str
        Base address of usage reports; empty if the store's takes them.
    seeds : list of str
        Peer addresses to ask when the platform does not answer.
    data_folder : str
        Folder for bulk data; empty on a VM that keeps nothing.
    threads : int
        Connections of callers served at one time.
    heartbeat_s : float
        Seconds between heartbeats to a peer.
    lease_s : float
        Seconds a duty's lease lasts without renewal.
    log_format, log_level : str
        ``text`` or ``json``, and a level of the logging module.
    debug_steps : bool
        Lets tests hold the daemon at named points.
    """

    name: str
    datacentre: str
    caller_address: str = attrs.field(validator=address)
    peer_address: str = attrs.field(validator=address)
    admin_address: str = attrs.field(validator=address)
    platform_url: str
    duty_url: str = ''
    seeds: list[str] = attrs.field(factory=list)
    data_folder: str = ''
    threads: int = attrs.field(default=128, validator=at_least(4))
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


def load_settings(path: str) -> DaemonSettings:
    """Read and check a settings file.

    Raises
    ------
    BadSetting
        Names the file, the setting, the value and what to write instead.
    """
    return build_checked(path, read_table(path), DaemonSettings)


def address_unavailable(
    location: str, name: str, value: str
) -> errors.BadSetting:
    """Return the error for an address that cannot be listened on."""
    return errors.BadSetting(
        location,
        name,
        value,
        'cannot be listened on',
        'Choose an address that is free on this VM.',
    )


def read_table(path: str) -> dict[str, Any]:
    """Read a TOML file; raises `BadSetting`."""
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
    """Build settings of a type from a table, raising `BadSetting`."""
    fields = {item.name: item for item in attrs.fields(kind)}
    for name, value in values.items():
        if name not in fields:
            close = difflib.get_close_matches(name, fields, 1)
            hint = f'Did you mean {close[0]!r}?' if close else 'Remove it.'
            raise errors.BadSetting(path, name, value, 'unknown setting', hint)
        check_type(path, fields[name], value)
    for name, item in fields.items():
        if item.default is attrs.NOTHING and name not in values:
            raise errors.BadSetting(
                path, name, None, 'missing', f'Add {name} = VALUE.'
            )
    return build(path, values, kind)


def check_type(path: str, item: attrs.Attribute, value: Any) -> None:
    """Raise `BadSetting` for a value of another type."""
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
    """Construct the settings, naming the one that is refused."""
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
