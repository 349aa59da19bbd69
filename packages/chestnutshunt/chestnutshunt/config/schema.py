"""Which settings a node of the tree may hold, and their checks."""

import difflib
from typing import Any

import attrs

from chestnutshunt.config import datacentre_settings
from chestnutshunt.config import field
from chestnutshunt.config import key_settings
from chestnutshunt.config import report_settings
from chestnutshunt.config import run_settings
from chestnutshunt.config import service_settings
from chestnutshunt.config import workspace_settings
from chestnutshunt import errors

__all__ = ['allowed_fields', 'check_value', 'parent_of', 'settings_class']

COLLECTIONS: dict[str, type] = {
    'datacentres': datacentre_settings.DatacentreSettings,
    'reports': report_settings.ReportSettings,
    'runs': run_settings.RunSettings,
    'services': service_settings.ServiceSettings,
    'workspaces': workspace_settings.WorkspaceSettings,
}

NAME_CHARACTERS = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-'
)


def parent_of(path: str) -> str | None:
    """Return the path a node inherits from, ``None`` for the root."""
    if not path:
        return None
    parts = path.split('/')
    if len(parts) == 4:
        return '/'.join(parts[:2])
    return '/'.join(parts[:-1])


def settings_class(path: str) -> type | None:
    """Return the class of a leaf's settings, ``None`` for a group node."""
    parts = path.split('/')
    if len(parts) == 2:
        return COLLECTIONS.get(parts[0])
    if len(parts) == 4:
        return key_settings.KeySettings
    return None


def check_path(path: str) -> None:
    """Raise `BadSetting` unless the path has a place in the tree."""
    parts = path.split('/') if path else []
    remedy = (
        'Use "", COLLECTION, COLLECTION/NAME or workspaces/NAME/keys/NAME '
        f'with COLLECTION one of {", ".join(sorted(COLLECTIONS))}.'
    )
    known = not parts or parts[0] in COLLECTIONS
    key_path = len(parts) == 4 and parts[::2] == ['workspaces', 'keys']
    if not known or not (len(parts) <= 2 or key_path):
        raise errors.BadSetting(path, 'path', path, 'no such place', remedy)
    for part in parts:
        if not part or set(part) - NAME_CHARACTERS or part in ('.', '..'):
            raise errors.BadSetting(
                path,
                'path',
                part,
                'not a name',
                'Use letters, digits, ".", "_" and "-".',
            )


def allowed_fields(path: str) -> dict[str, attrs.Attribute]:
    """Return the settings that a node may hold, by name.

    A group node may hold the settings of everything below it.
    """
    check_path(path)
    cls = settings_class(path)
    if cls is not None:
        return field.declared_settings(cls)
    below = [COLLECTIONS[path]] if path else list(COLLECTIONS.values())
    found: dict[str, attrs.Attribute] = {}
    for item in below:
        found.update(field.declared_settings(item))
    return found


def check_value(path: str, name: str, value: Any) -> Any:
    """Check one setting and return it in its own type.

    Raises
    ------
    BadSetting
        Names the node, the setting, the value and what to write instead.
    """
    allowed = allowed_fields(path)
    if name not in allowed:
        close = difflib.get_close_matches(name, allowed, 1)
        hint = f'Did you mean {close[0]!r}?' if close else 'Remove it.'
        raise errors.BadSetting(path, name, value, 'unknown setting', hint)
    item = allowed[name]
    typed = convert(path, name, value, item.default)
    check_bounds(path, name, typed, item.metadata)
    return typed


def convert(path: str, name: str, value: Any, default: Any) -> Any:
    """Return the value in the type of the default."""
    wanted = type(default)
    if wanted is float and type(value) in (int, float):
        return float(value)
    if wanted is tuple and isinstance(value, (list, tuple)):
        if all(isinstance(item, str) for item in value):
            return tuple(value)
    if type(value) is wanted:
        return value
    example = 'a list of strings' if wanted is tuple else wanted.__name__
    raise errors.BadSetting(
        path, name, value, 'wrong type', f'Write {example}.'
    )


def check_bounds(path: str, name: str, value: Any, declared: Any) -> None:
    """Raise `BadSetting` for a value outside its bounds or choices."""
    choices = declared['choices']
    if choices and value not in choices:
        remedy = f'Write one of {", ".join(choices)}.'
        raise errors.BadSetting(path, name, value, 'not a choice', remedy)
    low, high = declared['minimum'], declared['maximum']
    if low is not None and not low <= value <= high:
        unit = declared['unit']
        remedy = f'Write a value from {low} to {high} {unit}'.rstrip() + '.'
        raise errors.BadSetting(path, name, value, 'out of bounds', remedy)
