"""Settings of an API key."""

import attrs

from chestnutshunt.config import field

__all__ = ['KeySettings']


@attrs.frozen
class KeySettings:
    """An API key of a workspace; only its salted hash is stored."""

    digest: str = field.setting('', 'salted hash of the key')
    salt: str = field.setting('', 'salt of the hash')
    withdrawn: bool = field.setting(
        False, 'true if the key is no longer accepted'
    )
