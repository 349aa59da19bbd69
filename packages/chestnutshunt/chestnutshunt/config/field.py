"""Declaration of a setting with its type, unit, bounds and help text."""

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
        Value if no node of the tree sets it; its type is the setting's type.
    help_text : str
        One line of help for operators.
    unit : str, optional
        Unit shown with the value and its bounds.
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
    """Return the attributes of a settings class by name."""
    return {attribute.name: attribute for attribute in attrs.fields(cls)}
