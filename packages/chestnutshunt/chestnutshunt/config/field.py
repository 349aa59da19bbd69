"""Declaration of one setting: type, unit, bounds and help in one place."""

from typing import Any

import attrs

__all__ = ['declared_settings', 'setting']


def setting(
    default: Any,
    help_text: str,
    unit: str = '',
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
) -> Any:
    """Declare a setting of an attrs class.

    Parameters
    ----------
    default : object
        Value when no node of the tree sets it; also fixes the type.
    help_text : str
        One line for operators.
    unit : str, optional
        Unit shown beside the value.
    minimum, maximum : float, optional
        Inclusive bounds.
    choices : tuple of str, optional
        The only values allowed.
    """
    metadata = {
        'help': help_text,
        'unit': unit,
        'minimum': minimum,
        'maximum': maximum,
        'choices': choices,
    }
    return attrs.field(default=default, metadata=metadata)


def declared_settings(cls: type) -> dict[str, attrs.Attribute]:
    """Return the declared settings of a class by name."""
    return {item.name: item for item in attrs.fields(cls)}
