"""Checks keys against the tree in force."""

from collections.abc import Callable
import hmac

from returns import result

from chestnutshunt.admission import credential
from chestnutshunt.admission import grant
from chestnutshunt.config import service_settings
from chestnutshunt.config import tree
from chestnutshunt.config import workspace_settings
from chestnutshunt import errors

__all__ = ['OPEN_WORKSPACE', 'KeyRing']

OPEN_WORKSPACE = '(open)'
BEARER = 'bearer '


class KeyRing:
    """Finds the workspace that a key belongs to.

    Parameters
    ----------
    current_tree : callable
        Returns the tree in force.
    """

    def __init__(self, current_tree: Callable[[], tree.Tree]) -> None:
        self.current_tree = current_tree

    def authorize(
        self,
        authorization: str,
        service: str,
        settings: service_settings.ServiceSettings,
    ) -> result.Result[grant.Grant, errors.ChestnutshuntError]:
        """Return what a request's credential entitles it to.

        Parameters
        ----------
        authorization : str
            The Authorization header, empty if there was none.
        service : str
            Service that is called.
        settings : ServiceSettings
            Its settings.
        """
        if settings.open and not authorization:
            free = workspace_settings.WorkspaceSettings()
            return result.Success(grant.Grant(OPEN_WORKSPACE, '', free))
        return self.authenticate(authorization).bind(
            lambda found: permit(found, service)
        )

    def authenticate(
        self, authorization: str
    ) -> result.Result[grant.Grant, errors.ChestnutshuntError]:
        """Return the grant of a key, for any service."""
        if not authorization.lower().startswith(BEARER):
            return result.Failure(errors.Unauthorized('No key was sent.'))
        parts = credential.parse_token(authorization[len(BEARER) :].strip())
        if parts is None:
            return result.Failure(errors.Unauthorized('Malformed key.'))
        workspace, key_id, secret = parts
        key_path = f'workspaces/{workspace}/keys/{key_id}'
        held = self.current_tree()
        if not self.secret_matches(held, key_path, secret):
            return result.Failure(errors.Unauthorized('Key not in force.'))
        owner = f'workspaces/{workspace}'
        if owner not in held.nodes:
            return result.Failure(errors.Unauthorized('Key not in force.'))
        settings = held.settings(owner)
        return result.Success(grant.Grant(workspace, key_path, settings))

    def secret_matches(
        self, held: tree.Tree, key_path: str, secret: str
    ) -> bool:
        """Tell whether the secret is that of a key in force."""
        if key_path not in held.nodes:
            return False
        key = held.settings(key_path)
        digest = credential.digest_secret(key.salt, secret)
        same = hmac.compare_digest(digest, key.digest)
        return same and not key.withdrawn

    def is_in_force(self, given: grant.Grant) -> bool:
        """Tell whether a grant's key still works, for open streams."""
        if not given.key_path:
            return True
        held = self.current_tree()
        if key_missing(held, given):
            return False
        return not held.settings(given.key_path).withdrawn


def key_missing(held: tree.Tree, given: grant.Grant) -> bool:
    """Tell whether the key or its workspace has left the tree."""
    owner = f'workspaces/{given.workspace}'
    return given.key_path not in held.nodes or owner not in held.nodes


def permit(
    given: grant.Grant, service: str
) -> result.Result[grant.Grant, errors.ChestnutshuntError]:
    """Fail unless the workspace may call the service."""
    allowed = given.settings.services
    if '*' in allowed or service in allowed:
        return result.Success(given)
    message = f'Workspace {given.workspace} may not call {service}.'
    return result.Failure(errors.Forbidden(message))
