"""Creation, hashing and parsing of API keys."""

import hashlib
import secrets

import attrs

__all__ = ['Credential', 'digest_secret', 'parse_token']

SECRET_BYTES = 24
SALT_BYTES = 8


@attrs.frozen
class Credential:
    """A new key: a token for its owner and a hash for the settings tree.

    Attributes
    ----------
    token : str
        ``WORKSPACE.ID.SECRET``; shown once and never stored.
    key_id : str
        Name of the key's node in the settings tree.
    salt, digest : str
        Stored in the node instead of the secret.
    """

    token: str = attrs.field(repr=False)
    key_id: str
    salt: str
    digest: str

    @classmethod
    def create(cls, workspace: str) -> 'Credential':
        """Create a key for a workspace."""
        key_id = secrets.token_hex(4)
        secret = secrets.token_urlsafe(SECRET_BYTES)
        salt = secrets.token_hex(SALT_BYTES)
        token = f'{workspace}.{key_id}.{secret}'
        return cls(token, key_id, salt, digest_secret(salt, secret))


def digest_secret(salt: str, secret: str) -> str:
    """Return the salted hash of a key's secret.

    The secret is long and random, so a fast hash is sufficient.
    """
    return hashlib.sha256(f'{salt}:{secret}'.encode()).hexdigest()


def parse_token(token: str) -> tuple[str, str, str] | None:
    """Return the workspace, key id and secret, or None if malformed."""
    parts = token.rsplit('.', 2)
    if len(parts) != 3 or not all(parts):
        return None
    workspace, key_id, secret = parts
    return workspace, key_id, secret
