"""Validates the paths of nodes and the settings that they hold."""

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
    """Return the path that a node inherits from; ``None`` for the root."""
    if not path:
        return None
    parts = path.split('/')
    if len(parts) == 4:
        return '/'.join(parts[:2])
    return '/'.join(parts[:-1])


def settings_class(path: str) -> type | None:
    """Return the settings class of a leaf; ``None`` for a group node."""
    parts = path.split('/')
    if len(parts) == 2:
        return COLLECTIONS.get(parts[0])
    if len(parts) == 4:
        return key_settings.KeySettings
    return None


def check_path(path: str) -> None:
    """Raise `BadSetting` unless the path fits the layout of the tree."""
    parts = path.split('/') if path else []
    remedy = (
        'Use "", COLLECTION, COLLECTION/NAME or workspaces/NAME/keys/NAME '
        f'with COLLECTION one of {", ".join(sorted(COLLECTIONS))}.'
    )
    is_known = not parts or parts[0] in COLLECTIONS
    is_key_path = len(parts) == 4 and parts[::2] == ['workspaces', 'keys']
    if not is_known or not (len(parts) <= 2 or is_key_path):
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

    A group node may hold any setting of the leaves below it, which inherit
    its values.
    """
    check_path(path)
    cls = settings_class(path)
    if cls is not None:
        return field.declared_settings(cls)
    classes = [COLLECTIONS[path]] if path else list(COLLECTIONS.values())
    allowed: dict[str, attrs.Attribute] = {}
    for leaf_class in classes:
        allowed.update(field.declared_settings(leaf_class))
    return allowed


def check_value(path: str, name: str, value: Any) -> Any:
    """Validate a value and return it converted to the setting's type.

    Raises
    ------
    BadSetting
        Names the node, the setting, the value and a remedy.
    """
    allowed = allowed_fields(path)
    if name not in allowed:
        matches = difflib.get_close_matches(name, allowed, 1)
        hint = f'Did you mean {matches[0]!r}?' if matches else 'Remove it.'
        raise errors.BadSetting(path, name, value, 'unknown setting', hint)
    attribute = allowed[name]
    typed = convert(path, name, value, attribute.default)
    check_bounds(path, name, typed, attribute.metadata)
    return typed


def convert(path: str, name: str, value: Any, default: Any) -> Any:
    """Convert a value to the type of the default; raises `BadSetting`."""
    expected = type(default)
    if expected is float and type(value) in (int, float):
        return float(value)
    if expected is tuple and isinstance(value, (list, tuple)):
        if all(isinstance(item, str) for item in value):
            return tuple(value)
    if type(value) is expected:
        return value
    example = 'a list of strings' if expected is tuple else expected.__name__
    raise errors.BadSetting(
        path, name, value, 'wrong type', f'Write {example}.'
    )


def check_bounds(path: str, name: str, value: Any, metadata: Any) -> None:
    """Raise `BadSetting` for a value outside its bounds or choices."""
    choices = metadata['choices']
    if choices and value not in choices:
        remedy = f'Write one of {", ".join(choices)}.'
        raise errors.BadSetting(path, name, value, 'not a choice', remedy)
    minimum, maximum = metadata['minimum'], metadata['maximum']
    if minimum is not None and not minimum <= value <= maximum:
        unit = metadata['unit']
        remedy = (
            f'Write a value from {minimum} to {maximum} {unit}'.rstrip() + '.'
        )
        raise errors.BadSetting(path, name, value, 'out of bounds', remedy)
