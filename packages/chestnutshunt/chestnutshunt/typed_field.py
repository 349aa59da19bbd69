"""Fields of decoded JSON objects whose type is checked."""

from typing import Any

__all__ = ['typed']


def typed(value: dict[str, Any], name: str, default: Any = None) -> Any:
    """Return a field of an object.

    Parameters
    ----------
    value : dict
        The object.
    name : str
        Name of the field.
    default : optional
        Value if the field is missing, which also gives its type. Without it
        the field is text and must be there.

    Raises
    ------
    KeyError, TypeError
        The field is missing or has the wrong type.
    """
    field = value[name] if default is None else value.get(name, default)
    wanted = str if default is None else type(default)
    if type(field) is not wanted:
        raise TypeError(f'The field "{name}" is no {wanted.__name__}.')
    return field
